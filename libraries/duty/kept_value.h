#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "store/store_port.h"

namespace pistachiowalk {

// A value in the store that the holder of the duty lease keeps as it should be.
// It is read before it is written, so that a value that another holder has
// written is known before it is replaced.
//
// Each method makes at most one call to the store, and none while one is
// pending; its owner paces the calls.
class KeptValue {
 public:
  // Called with each value that was read; never with an empty one.
  using ReadCallback = std::function<void(const std::string& value)>;

  KeptValue(StorePort& store, std::string key, ReadCallback on_read);

  // Reads the value unless it is known. Returns whether a call was made.
  bool Read();
  // Writes `value` if the store is known to have another one, and reads first
  // if it is not known what it has. Returns whether a call was made.
  bool Keep(const std::string& value);
  // Whether the store had `value` when it was last read or written.
  bool Has(const std::string& value) const {
    return m_is_read && m_stored == value;
  }
  // Called when the value may have changed since it was read: the store was
  // restored from a copy, or another node held the lease. A pending call that
  // began before has no effect on what is known.
  void Forget();
  bool is_read() const { return m_is_read; }
  // Number of calls that have failed since the last one that did not.
  uint32_t failures() const { return m_failures; }
  const std::string& key() const { return m_key; }

 private:
  void OnRead(const StoreResult& result);
  void OnWritten(const std::string& value, const StoreResult& result);
  // Calls `handle` with the result unless Forget() was called meanwhile.
  StorePort::Callback Guard(std::function<void(const StoreResult&)> handle);
  void SetStored(const StoreResult& result);

  StorePort& m_store;
  std::string m_key;
  ReadCallback m_on_read;
  StoreRevision m_store_revision = 0;
  std::string m_stored;
  bool m_is_read = false;
  bool m_is_calling = false;
  uint32_t m_failures = 0;
  // Number of calls of Forget().
  uint64_t m_forgotten = 0;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
