#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "duty/usage_ledger.h"
#include "store/store_port.h"

namespace pistachiowalk {

class DutyLease;

// Persists the counts of the newest usage windows in the store, by incarnation
// of each node, so that they survive the loss of all nodes at once. Written by
// the holder of the duty lease, and read by the next holder before it reports.
class UsageRecord {
 public:
  UsageRecord(const Clock& clock,
              StorePort& store,
              DutyLease& lease,
              UsageLedger& ledger,
              std::string key);

  // Reads or writes the record if due; must be called several times a second.
  // `own` identifies this process, `current` is the window of the cluster time.
  void Step(const NodeIncarnation& own, UsageWindow current);
  // Whether this node holds the lease and has read the existing record.
  bool IsRestored() const;

 private:
  void Restore(const NodeIncarnation& own);
  void Write(const NodeIncarnation& own, UsageWindow current);

  const Clock& m_clock;
  StorePort& m_store;
  DutyLease& m_lease;
  UsageLedger& m_ledger;
  std::string m_key;
  StoreRevision m_revision = 0;
  // Fencing number of the grant under which the record was read.
  uint64_t m_restored_fence = 0;
  bool m_is_call_pending = false;
  TimePoint m_written_at{};
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

// Serialized form in the store.
std::string EncodeUsageRecord(const std::vector<NodeUsage>& usage);
// nullopt if the bytes are not a valid record.
std::optional<std::vector<NodeUsage>> DecodeUsageRecord(std::string_view bytes);

}  // namespace pistachiowalk
