#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "store/store_port.h"

namespace pistachiowalk {

// A key with its value, as it was at `revision`.
struct StoreItem {
  std::string key;
  std::string value;
  StoreRevision revision = 0;

  friend auto operator<=>(const StoreItem&, const StoreItem&) = default;
};

// One change of a key; without a value it was removed.
struct StoreChange {
  StoreItem item;
  bool is_removed = false;

  friend auto operator<=>(const StoreChange&, const StoreChange&) = default;
};

struct StorePage {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<StoreItem> items;
  bool has_more = false;
  // The store's revision when the page was read.
  StoreRevision as_of = 0;
};

enum class WatchStatus {
  kOk,
  // The changes since the revision are no longer known: list again.
  kHistoryLost,
  kUnavailable,
};

struct StoreChanges {
  WatchStatus status = WatchStatus::kUnavailable;
  std::vector<StoreChange> changes;
  // Where to go on.
  StoreRevision as_of = 0;
};

// The platform's store by key prefixes.
class PrefixStore {
 public:
  using PageCallback = std::function<void(const StorePage& page)>;
  using ChangesCallback = std::function<void(const StoreChanges& changes)>;

  virtual ~PrefixStore() = default;

  // Lists keys above `after_key`, in order. Pages are no snapshot.
  virtual void List(const std::string& prefix,
                    const std::string& after_key,
                    PageCallback callback) = 0;
  // Answers with the changes above `after`, or with none after `wait`.
  virtual void WatchPrefix(const std::string& prefix,
                           StoreRevision after,
                           std::chrono::milliseconds wait,
                           ChangesCallback callback) = 0;
};

}  // namespace pistachiowalk
