#pragma once

#include <functional>
#include <string>

#include "duty/merged_record.h"
#include "serving/stream_origin_record.h"

namespace pistachiowalk {

// Persists the origins of one node's streams in the store, so that they outlive
// the end of all nodes at once. Each node writes its own record.
class StreamRecord {
 public:
  using RestoreCallback =
      std::function<void(const StreamOriginRecord& recorded)>;

  // `restore` is called with what this node wrote before it was started again.
  StreamRecord(StorePort& store, std::string key, RestoreCallback restore);

  // Reads the record until it was read; must be called periodically.
  void Restore();
  // Writes the record unless its `revision` was written or a call is pending.
  void Write(const StreamOriginRecord& record, uint64_t revision);
  void NoteStoreRestored() { m_record.NoteStoreRestored(); }
  bool is_restored() const { return m_record.is_read(); }

 private:
  void Merge(const std::string& value) const;

  RestoreCallback m_restore;
  MergedRecord m_record;
};

}  // namespace pistachiowalk
