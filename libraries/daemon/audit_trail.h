#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "base/audit_sink.h"
#include "base/clock.h"
#include "base/ids.h"

namespace pistachiowalk {

// One entry of the hash chain.
struct AuditEntry {
  // Consecutive, starting at 1.
  uint64_t number = 0;
  int64_t unix_milliseconds = 0;
  AuditRecord record;
  // BLAKE2b-256 of the previous entry in hexadecimal, empty for the first one.
  std::string previous_hash;
  // The result of AuditEntryHash for this entry.
  std::string hash;

  friend auto operator<=>(const AuditEntry&, const AuditEntry&) = default;
};

// Computes the hash of all fields of an entry except `hash` itself.
std::string AuditEntryHash(const AuditEntry& entry);

// The audit trail of one node. Entries form a hash chain, which exposes missing
// and modified entries. VMs have no disks, so each entry is written to the log;
// the latest entries are also kept in memory and served over HTTP.
class AuditTrail final : public AuditSink {
 public:
  AuditTrail(const Clock& clock, const NodeId& node);

  void Record(const AuditRecord& record) override;
  // The latest entries, oldest first.
  const std::deque<AuditEntry>& entries() const { return m_entries; }
  // Returns the JSON document served at GET /v1/audit.
  std::string Document() const;

 private:
  const Clock& m_clock;
  NodeId m_node;
  std::deque<AuditEntry> m_entries;
  uint64_t m_last_number = 0;
  std::string m_last_hash;
};

// Returns the number of the first entry that breaks the hash chain, or 0 if the
// chain is intact.
uint64_t FindBrokenEntry(const std::deque<AuditEntry>& entries);

}  // namespace pistachiowalk
