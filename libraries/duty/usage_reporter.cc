#include "duty/usage_reporter.h"

#include <fmt/format.h>

#include <charconv>
#include <sstream>

#include "duty/duty_lease.h"
#include "duty/duty_log_events.h"
#include "store/store_port.h"

namespace pistachiowalk {
namespace {

// Other nodes still report a window's last requests after its end; usage
// reports are due ten seconds after it.
constexpr auto kSettleTime = std::chrono::milliseconds(1800);
constexpr Duration kRetryPause = std::chrono::milliseconds(700);
// Number of past windows that a new holder still reports; reports of older ones
// would be late.
constexpr UsageWindow kLookbackWindows = 3;
// Bound of the difference between the wall clocks of two nodes.
constexpr auto kClockMargin = std::chrono::milliseconds(2000);

}  // namespace

std::string FormatUsage(const std::map<CustomerName, uint64_t>& started) {
  std::string text;
  for (const auto& [customer, count] : started) {
    text += fmt::format("{}={}\n", customer.value(), count);
  }
  return text;
}

std::map<CustomerName, uint64_t> ParseUsage(const std::string& text) {
  std::map<CustomerName, uint64_t> started;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const size_t separator = line.rfind('=');
    uint64_t count = 0;
    if (separator != std::string::npos &&
        std::from_chars(line.data() + separator + 1, line.data() + line.size(),
                        count)
                .ec == std::errc()) {
      started[CustomerName(line.substr(0, separator))] = count;
    }
  }
  return started;
}

UsageReporter::UsageReporter(const Clock& clock,
                             StorePort& store,
                             CloudPort& cloud,
                             DutyLease& lease,
                             UsageLedger& ledger,
                             NodeId node,
                             std::string prefix)
    : m_clock(clock),
      m_store(store),
      m_cloud(cloud),
      m_lease(lease),
      m_ledger(ledger),
      m_node(std::move(node)),
      m_prefix(std::move(prefix)) {}

std::string UsageReporter::KeyOf(UsageWindow number) const {
  return fmt::format("{}{}", m_prefix, number);
}

void UsageReporter::StepIdle(std::chrono::system_clock::time_point wall) {
  const UsageWindow current = m_ledger.WindowOf(wall);
  if (!m_first_window) {
    m_first_window = current;
  }
  m_ledger.DropBefore(
      current > 2 * kLookbackWindows ? current - 2 * kLookbackWindows : 0);
  std::erase_if(m_windows, [&](const auto& window) {
    return window.first + 2 * kLookbackWindows < current;
  });
  for (auto& [number, window] : m_windows) {
    if (window.is_commit_lost && m_clock.Now() >= window.recommit_at) {
      CommitAgain(number, window);
    }
  }
}

void UsageReporter::NoteRestored() {
  for (auto& [number, window] : m_windows) {
    switch (window.progress) {
      case Progress::kToReport:
      case Progress::kReporting:
      case Progress::kDone:
        window.is_commit_lost = true;
        window.recommit_at = TimePoint{};
        break;
      case Progress::kToCommit:
      case Progress::kCommitting:
      case Progress::kAbandoned:
        break;
    }
  }
}

bool UsageReporter::MayBeReported(UsageWindow number) const {
  const auto history_since = m_lease.history_since();
  const auto earliest_commit = m_ledger.EndOf(number) + kSettleTime;
  return history_since &&
         m_ledger.EndOf(number) <= *history_since + kClockMargin &&
         m_lease.held_since() > earliest_commit;
}

void UsageReporter::Step(std::chrono::system_clock::time_point wall) {
  StepIdle(wall);
  if (!m_lease.MayAct()) {
    return;
  }
  const UsageWindow current = m_ledger.WindowOf(wall);
  // The record of earlier holders may contain windows before this node's start.
  m_first_window = std::min(*m_first_window,
                            m_ledger.FirstWindow().value_or(*m_first_window));
  const TimePoint now = m_clock.Now();
  for (UsageWindow number =
           std::max(*m_first_window, current - kLookbackWindows);
       number < current; ++number) {
    if (wall < m_ledger.EndOf(number) + kSettleTime) {
      continue;
    }
    Window& window = m_windows[number];
    if (now < window.retry_at) {
      continue;
    }
    if (window.progress == Progress::kToCommit) {
      if (MayBeReported(number)) {
        FetchCommit(number, window);
      } else {
        Commit(number, window);
      }
    } else if (window.progress == Progress::kToReport) {
      Report(number, window);
    }
  }
}

void UsageReporter::Commit(UsageWindow number, Window& window) {
  window.progress = Progress::kCommitting;
  const std::string value = FormatUsage(m_ledger.Total(number));
  m_store.CompareAndSwap(KeyOf(number), 0, value,
                         [this, number, value, alive = std::weak_ptr(m_alive)](
                             const StoreResult& result) {
                           if (!alive.expired()) {
                             OnCommitted(number, value, result);
                           }
                         });
}

void UsageReporter::OnCommitted(UsageWindow number,
                                const std::string& value,
                                const StoreResult& result) {
  Window& committed = m_windows[number];
  if (result.status == StoreStatus::kOk ||
      result.status == StoreStatus::kConflict) {
    committed.progress = Progress::kToReport;
    committed.report = result.status == StoreStatus::kOk ? value : result.value;
    LogEvent(
        duty_log::kUsageFixed,
        {{"window", std::to_string(number)},
         {"by", result.status == StoreStatus::kOk ? "this node" : "another"}});
    return;
  }
  // NOTE: A write without response may have been executed. The retry then fails
  // with a conflict and returns the committed value.
  committed.progress = Progress::kToCommit;
  committed.retry_at = m_clock.Now() + kRetryPause;
}

void UsageReporter::FetchCommit(UsageWindow number, Window& window) {
  window.progress = Progress::kCommitting;
  m_store.Get(KeyOf(number), [this, number, alive = std::weak_ptr(m_alive)](
                                 const StoreResult& result) {
    if (alive.expired()) {
      return;
    }
    Window& fetched = m_windows[number];
    if (result.status != StoreStatus::kOk) {
      fetched.progress = Progress::kToCommit;
      fetched.retry_at = m_clock.Now() + kRetryPause;
      return;
    }
    if (result.revision == 0) {
      fetched.progress = Progress::kAbandoned;
      LogEvent(duty_log::kUsageAbandoned, {{"window", std::to_string(number)}});
      return;
    }
    fetched.progress = Progress::kToReport;
    fetched.report = result.value;
    LogEvent(duty_log::kUsageFixed,
             {{"window", std::to_string(number)}, {"by", "another"}});
  });
}

void UsageReporter::CommitAgain(UsageWindow number, Window& window) {
  window.recommit_at = m_clock.Now() + kRetryPause;
  m_store.CompareAndSwap(KeyOf(number), 0, window.report,
                         [this, number, alive = std::weak_ptr(m_alive)](
                             const StoreResult& result) {
                           if (alive.expired()) {
                             return;
                           }
                           const auto known = m_windows.find(number);
                           if (known == m_windows.end()) {
                             return;
                           }
                           if (result.status == StoreStatus::kOk ||
                               result.status == StoreStatus::kConflict) {
                             known->second.is_commit_lost = false;
                           }
                         });
}

void UsageReporter::Report(UsageWindow number, Window& window) {
  window.progress = Progress::kReporting;
  m_cloud.ReportUsage(
      DutyGrant{.node = m_node, .fence = m_lease.fence()},
      UsageReport{.window = number, .started = ParseUsage(window.report)},
      [this, number, fence = m_lease.fence(),
       alive = std::weak_ptr(m_alive)](CloudStatus status) {
        if (!alive.expired()) {
          OnReported(number, fence, status);
        }
      });
}

void UsageReporter::OnReported(UsageWindow number,
                               FencingNumber fence,
                               CloudStatus status) {
  Window& window = m_windows[number];
  if (status == CloudStatus::kDone) {
    window.progress = Progress::kDone;
    LogEvent(duty_log::kUsageReported, {{"window", std::to_string(number)}});
    return;
  }
  window.progress = Progress::kToReport;
  window.retry_at = m_clock.Now() + kRetryPause;
  LogEvent(duty_log::kUsageFailed,
           {{"window", std::to_string(number)},
            {"status", std::to_string(static_cast<int>(status))}});
  if (status == CloudStatus::kSuperseded) {
    m_lease.NoteSuperseded(fence);
  }
}

}  // namespace pistachiowalk
