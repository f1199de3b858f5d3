#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "serving/quarantine_state.h"
#include "store/store_port.h"

namespace pistachiowalk {

// Persists the prompt quarantines in the store, so that they survive the loss
// of all nodes at once. Written by the holder of the duty lease.
class QuarantineRecord {
 public:
  using MergeCallback =
      std::function<void(const TimedQuarantineState& recorded)>;

  // `merge` is called with what the store has.
  QuarantineRecord(StorePort& store, std::string key, MergeCallback merge);

  // Reads the record unless it was read or a call is pending.
  void Restore();
  // Writes `recorded` unless its `revision` was written or a call is pending.
  // What another node has written is merged first.
  void Write(const TimedQuarantineState& recorded, uint64_t revision);
  // Called when the store was restored from a copy and may have lost the
  // record; it is read again before it is written.
  void NoteStoreRestored();
  bool is_restored() const { return m_is_restored; }

 private:
  void Merge(const std::string& value);

  StorePort& m_store;
  std::string m_key;
  MergeCallback m_merge;
  StoreRevision m_store_revision = 0;
  std::optional<uint64_t> m_written_revision;
  // Number of restores of the store during the process's life.
  uint64_t m_restores = 0;
  bool m_is_restored = false;
  bool m_is_calling = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
