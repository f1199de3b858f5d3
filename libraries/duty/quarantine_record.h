#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "duty/merged_record.h"
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
  void NoteStoreRestored() { m_record.NoteStoreRestored(); }
  bool is_restored() const { return m_record.is_read(); }

 private:
  void Merge(const std::string& value) const;

  MergeCallback m_merge;
  MergedRecord m_record;
};

}  // namespace pistachiowalk
