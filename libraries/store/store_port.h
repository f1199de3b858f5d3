#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace pistachiowalk {

// Revision of a key in the platform's store; 0 if the key does not exist.
using StoreRevision = uint64_t;

// Number of a history of the store. It rises each time the store is restored
// from a copy and thereby loses its latest changes. 0 if the store names none.
using StoreHistory = uint64_t;

enum class StoreStatus {
  kOk,
  // The compare-and-swap failed; `value` has the current value.
  kConflict,
  // The call had no effect: the store was not reached or rejected it.
  kUnavailable,
  // NOTE: The call may have taken effect. Read before writing again.
  kUnknown,
};

// The store's answer to one call.
struct StoreResult {
  StoreStatus status = StoreStatus::kUnavailable;
  StoreRevision revision = 0;
  std::string value;
  // The history that the store named in its response.
  StoreHistory history = 0;

  friend auto operator<=>(const StoreResult&, const StoreResult&) = default;
};

// Interface to the platform's key-value store. Every call counts against the
// store's rate limits; a watch counts as one call while it waits.
class StorePort {
 public:
  using Callback = std::function<void(const StoreResult& result)>;

  virtual ~StorePort() = default;

  // Reads a key. The result is kOk with revision 0 if it does not exist.
  virtual void Get(const std::string& key, Callback callback) = 0;
  // Writes `value` if the key's revision is `expected` (0 if it must not
  // exist).
  virtual void CompareAndSwap(const std::string& key,
                              StoreRevision expected,
                              std::string value,
                              Callback callback) = 0;
  // Answers once the key's revision exceeds `after`, or with the current value
  // once `wait` has elapsed.
  virtual void Watch(const std::string& key,
                     StoreRevision after,
                     std::chrono::milliseconds wait,
                     Callback callback) = 0;
};

}  // namespace pistachiowalk
