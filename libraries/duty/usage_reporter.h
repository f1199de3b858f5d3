#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "duty/cloud_port.h"
#include "duty/usage_ledger.h"
#include "fleet/lease_record.h"

namespace pistachiowalk {

class DutyLease;
class StorePort;
struct StoreResult;

// Reports each window's usage once. The report is committed to the store before
// the first call, so that retries after a lost response or a change of the
// holder send identical data.
//
// A store that was restored from a copy may have lost commits. Each node then
// commits again what it knows to have been committed. Of a window that an
// earlier holder may have reported, only a commit that the store has is sent.
class UsageReporter {
 public:
  // `prefix` is the key prefix of committed reports in the store.
  UsageReporter(const Clock& clock,
                StorePort& store,
                CloudPort& cloud,
                DutyLease& lease,
                UsageLedger& ledger,
                NodeId node,
                std::string prefix);

  // Commits and sends reports that are due; must be called several times a
  // second. `wall` is the cluster time.
  void Step(std::chrono::system_clock::time_point wall);
  // Only drops windows that are too old to be reported; called instead of
  // Step() while reporting is not allowed.
  void StepIdle(std::chrono::system_clock::time_point wall);
  // Called when the store was restored from a copy.
  void NoteRestored();

 private:
  enum class Progress {
    kToCommit,
    kCommitting,
    kToReport,
    kReporting,
    kDone,
    // What was reported, if anything, is not known any more.
    kAbandoned,
  };
  struct Window {
    Progress progress = Progress::kToCommit;
    std::string report;
    TimePoint retry_at{};
    // The committed report may be missing in the store.
    bool is_commit_lost = false;
    TimePoint recommit_at{};
  };

  // Whether another holder may have reported the window under a commit that the
  // store has lost.
  bool MayBeReported(UsageWindow number) const;
  void Commit(UsageWindow number, Window& window);
  void OnCommitted(UsageWindow number,
                   const std::string& value,
                   const StoreResult& result);
  void FetchCommit(UsageWindow number, Window& window);
  void CommitAgain(UsageWindow number, Window& window);
  void Report(UsageWindow number, Window& window);
  void OnReported(UsageWindow number, FencingNumber fence, CloudStatus status);
  std::string KeyOf(UsageWindow number) const;

  const Clock& m_clock;
  StorePort& m_store;
  CloudPort& m_cloud;
  DutyLease& m_lease;
  UsageLedger& m_ledger;
  NodeId m_node;
  std::string m_prefix;
  std::map<UsageWindow, Window> m_windows;
  // The first window of which this node may have counts.
  std::optional<UsageWindow> m_first_window;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

// Text form of a committed report: one line "customer=count" per customer.
std::string FormatUsage(const std::map<CustomerName, uint64_t>& started);
std::map<CustomerName, uint64_t> ParseUsage(const std::string& text);

}  // namespace pistachiowalk
