#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "duty/cloud_port.h"
#include "duty/usage_ledger.h"

namespace pistachiowalk {

class DutyLease;
class StorePort;

// Reports each window's usage once. What is reported is fixed in the store
// before the first call, so that whoever repeats the call, after a lost answer
// or a change of the holder, tells exactly the same.
class UsageReporter {
 public:
  // `prefix` is where the fixed reports stand in the store.
  UsageReporter(const Clock& clock,
                StorePort& store,
                CloudPort& cloud,
                DutyLease& lease,
                UsageLedger& ledger,
                NodeId node,
                std::string prefix);

  // Does what is due; call it a few times a second. `wall` is the true time.
  void Step(std::chrono::system_clock::time_point wall);
  // Only drops what is too old to be reported; called in place of Step() while
  // nothing may be reported.
  void StepIdle(std::chrono::system_clock::time_point wall);

 private:
  enum class Progress { kToCommit, kCommitting, kToReport, kReporting, kDone };
  struct Window {
    Progress progress = Progress::kToCommit;
    std::string report;
    TimePoint retry_at{};
  };

  void Commit(UsageWindow number, Window& window);
  void Report(UsageWindow number, Window& window);
  void OnReported(UsageWindow number, CloudStatus status);
  std::string KeyOf(UsageWindow number) const;

  const Clock& m_clock;
  StorePort& m_store;
  CloudPort& m_cloud;
  DutyLease& m_lease;
  UsageLedger& m_ledger;
  NodeId m_node;
  std::string m_prefix;
  std::map<UsageWindow, Window> m_windows;
  // The first window of which this node knows anything.
  std::optional<UsageWindow> m_first_window;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

// The fixed form of a report: "customer=count" by lines.
std::string FormatUsage(const std::map<CustomerName, uint64_t>& started);
std::map<CustomerName, uint64_t> ParseUsage(const std::string& text);

}  // namespace pistachiowalk
