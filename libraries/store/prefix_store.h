#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "store/store_port.h"

namespace pistachiowalk {

// A key with its value at `revision`.
struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision = 0;

  friend auto operator<=>(const StoreItem&, const StoreItem&) = default;
};

// A change of a key. `item` has no value if the key was removed.
struct StoreChange {
  StoreItem item;
  bool is_removed = false;

  friend auto operator<=>(const StoreChange&, const StoreChange&) = default;
};

struct StorePage {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<StoreItem> items;
  bool has_more = false;
  // The last key of the page, whether or not its item could be read; the next
  // page begins after it.
  std::string last_key;
  // The store's revision when the page was read, and its history.
  StoreRevision as_of = 0;
  StoreHistory history = 0;
};

enum class WatchStatus {
  kOk,
  // The store no longer has all changes since the revision. The caller must
  // list the prefix again.
  kHistoryLost,
  kUnavailable,
};

struct StoreChanges {
  WatchStatus status = WatchStatus::kUnavailable;
  std::vector<StoreChange> changes;
  // The revision from which to continue watching, and its history.
  StoreRevision as_of = 0;
  StoreHistory history = 0;
};

// Interface to the platform's store for lists and watches by key prefix.
class PrefixStore {
 public:
  using PageCallback = std::function<void(const StorePage& page)>;
  using ChangesCallback = std::function<void(const StoreChanges& changes)>;

  virtual ~PrefixStore() = default;

  // Lists keys greater than `after_key`, in order, one page per call. The pages
  // together are not a consistent snapshot.
  virtual void List(const std::string& prefix,
                    const std::string& after_key,
                    PageCallback callback) = 0;
  // Answers with the changes after revision `after`, or with none once `wait`
  // has elapsed.
  virtual void WatchPrefix(const std::string& prefix,
                           StoreRevision after,
                           std::chrono::milliseconds wait,
                           ChangesCallback callback) = 0;
};

}  // namespace pistachiowalk
