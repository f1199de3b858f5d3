#pragma once

#include <cstdint>
#include <string>

#include "duty/merged_record.h"
#include "serving/service_versions.h"

namespace pistachiowalk {

// Persists the versions that services have had in the store, so that a node
// that has just started knows of versions that left before. Written by the
// holder of the duty lease.
class VersionRecord {
 public:
  // `versions` gets what the store has; it must outlive this object.
  VersionRecord(StorePort& store, std::string key, ServiceVersions& versions);

  // Reads the record until it was found; must be called periodically.
  void Restore();
  // Reads the record again. Returns whether the read was sent; only then
  // `ended` is called, with whether the versions now include what was recorded.
  bool Refresh(MergedRecord::ReadCallback ended);
  // Writes the record if it has changed. `now_ms` is in milliseconds since
  // 1970.
  void Write(int64_t now_ms);
  // Called when the store was restored from a copy and may have lost the
  // record.
  void NoteStoreRestored() { m_record.NoteStoreRestored(); }

 private:
  void Merge(const std::string& value);

  ServiceVersions& m_versions;
  MergedRecord m_record;
};

}  // namespace pistachiowalk
