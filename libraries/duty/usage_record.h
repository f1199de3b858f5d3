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

// Keeps what each incarnation of each node has told of the newest usage windows
// in the store, so that it is known after all nodes were killed at once.
// Written by the duties' holder, and read by the next one before it reports.
class UsageRecord {
 public:
  UsageRecord(const Clock& clock,
              StorePort& store,
              DutyLease& lease,
              UsageLedger& ledger,
              std::string key);

  // Reads or writes what is due; call it a few times a second. `own` is this
  // process, `current` the window of the true time.
  void Step(const NodeIncarnation& own, UsageWindow current);
  // Whether this node holds the duty and knows what was recorded before.
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
  // The grant under which the record was read.
  uint64_t m_restored_fence = 0;
  bool m_is_call_pending = false;
  TimePoint m_written_at{};
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

// The form in the store.
std::string EncodeUsageRecord(const std::vector<NodeUsage>& usage);
// nullopt for what is no record.
std::optional<std::vector<NodeUsage>> DecodeUsageRecord(std::string_view bytes);

}  // namespace pistachiowalk
