#include <algorithm>

#include "base/event_log.h"
#include "gateway/gateway.h"
#include "gateway/gateway_log_events.h"

// Part of Gateway: exchanges with peers what it knows of prompts that crash
// workers, and persists it.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Interval between repeated messages, which replace lost ones, and its increase
// per receiver.
constexpr Duration kMinimumRepeatInterval = milliseconds(1000);
constexpr Duration kRepeatIntervalPerNode = milliseconds(40);
// A state that has not changed for this long is repeated less often.
constexpr Duration kRecentChange = seconds(10);
constexpr int kUnchangedIntervalFactor = 5;
// Bound of a message's age, as a sender's clock may be wrong.
constexpr Duration kMaximumMessageAge = seconds(30);
constexpr Duration kRestoreInterval = milliseconds(1000);

}  // namespace

TimedQuarantineState Gateway::MakeQuarantineState(TimePoint now) const {
  return TimedQuarantineState{
      .wall_milliseconds = std::chrono::duration_cast<milliseconds>(
                               m_cluster_time.At(now).time_since_epoch())
                               .count(),
      .state = m_quarantine.State(now)};
}

void Gateway::MergeQuarantine(const TimedQuarantineState& state,
                              Duration maximum_age) {
  const TimePoint now = m_ports.clock.Now();
  const auto sent_at = std::chrono::system_clock::time_point(
      milliseconds(state.wall_milliseconds));
  const Duration age = std::clamp(
      std::chrono::duration_cast<Duration>(m_cluster_time.At(now) - sent_at),
      Duration::zero(), maximum_age);
  m_quarantine.Merge(state.state, now - age, now);
  LogQuarantineChanges();
}

void Gateway::OnQuarantineState(const TimedQuarantineState& state) {
  MergeQuarantine(state, kMaximumMessageAge);
}

void Gateway::SendQuarantine(const std::vector<NodeId>& receivers) {
  const TimedQuarantineState state = MakeQuarantineState(m_ports.clock.Now());
  if (!state.state.is_empty()) {
    m_digest_exchange->Send(state, AddressesOf(receivers));
  }
}

void Gateway::StepQuarantine() {
  const TimePoint now = m_ports.clock.Now();
  m_quarantine.Step(now);
  LogQuarantineChanges();
  if (!m_quarantine_record.is_restored() &&
      now - m_quarantine_restore_tried_at >= kRestoreInterval) {
    m_quarantine_restore_tried_at = now;
    m_quarantine_record.Restore();
  }
  // NOTE: Only the representative of a data centre forwards what it hears, so
  // that a change is not sent again by each node that learns of it.
  const uint64_t revision = m_digest_plan.represents_data_center
                                ? m_quarantine.revision()
                                : m_quarantine.own_revision();
  const bool is_changed = revision != m_sent_quarantine_revision;
  if (is_changed) {
    m_quarantine_changed_at = now;
  }
  Duration interval =
      std::max(kMinimumRepeatInterval,
               kRepeatIntervalPerNode *
                   static_cast<int64_t>(m_digest_plan.direct.size()));
  if (now - m_quarantine_changed_at > kRecentChange) {
    interval *= kUnchangedIntervalFactor;
  }
  if (!is_changed && now - m_quarantine_sent_at < interval) {
    return;
  }
  m_sent_quarantine_revision = revision;
  m_quarantine_sent_at = now;
  SendQuarantine(m_digest_plan.direct);
  if (m_digest_plan.represents_data_center) {
    SendQuarantine(m_digest_plan.remote);
  }
}

void Gateway::RecordQuarantine() {
  if (m_lease.MayAct()) {
    m_quarantine_record.Write(MakeQuarantineState(m_ports.clock.Now()),
                              m_quarantine.revision());
  }
}

void Gateway::LogQuarantineChanges() {
  for (const QuarantineChange& change : m_quarantine.TakeChanges()) {
    LogEvent(change.is_in_force ? gateway_log::kPromptQuarantined
                                : gateway_log::kPromptReleased,
             {{"parts", FormatPromptParts(change.parts)},
              {"crashes", std::to_string(change.crashes)},
              {"workers", std::to_string(change.workers)},
              {"probes", std::to_string(change.probes)},
              {"source", change.is_from_peer ? "peer" : "own"}});
  }
}

}  // namespace pistachiowalk
