#include "daemon/lease_service.h"

#include <chrono>

#include "fleet/fleet_log_events.h"

namespace pistachiowalk {
namespace {

constexpr Duration kStepInterval = std::chrono::milliseconds(200);
// NOTE: Each waiting node reads the platform's store once per interval. With
// 2,500 nodes that is 250 of the store's 2,000 reads per second.
constexpr Duration kPollInterval = std::chrono::seconds(10);

LeaseTerms MakeLeaseTerms() {
  LeaseTerms terms;
  terms.poll_interval = kPollInterval;
  return terms;
}

// Includes the start time, so that a restarted process of the same node is a
// different holder.
std::string HolderName(const NodeId& node, const Clock& clock) {
  const auto started = std::chrono::duration_cast<std::chrono::nanoseconds>(
      clock.WallNow().time_since_epoch());
  return node.value() + "." + std::to_string(started.count());
}

}  // namespace

void LeaseService::LoggingAuditSink::Record(const AuditRecord& record) {
  LogEvent(record.action == "granted" ? fleet_log::kLeaseGranted
                                      : fleet_log::kLeaseLost,
           {{"lease", record.subject}, {"reason", record.reason}});
  m_trail.Record(record);
}

LeaseService::LeaseService(EventLoop& loop,
                           const Clock& clock,
                           StorePort& store,
                           const NodeId& node,
                           const DataCenterName& data_center,
                           AuditSink& trail)
    : m_loop(loop),
      m_clock(clock),
      m_store(store),
      m_audit(trail),
      m_lease("lease/" + data_center.value(),
              HolderName(node, clock),
              MakeLeaseTerms(),
              m_audit) {}

void LeaseService::Step() {
  if (const auto call = m_lease.Step(m_clock.Now(), m_clock.WallNow())) {
    Perform(*call);
  }
  LogStateChange();
  m_loop.Schedule(kStepInterval, [this] { Step(); });
}

void LeaseService::Perform(const StoreCall& call) {
  const auto on_answer = [this,
                          number = call.number](const StoreResult& result) {
    m_lease.OnAnswer(number, result, m_clock.Now());
  };
  switch (call.kind) {
    case StoreCall::Kind::kRead:
      m_store.Get(call.key, on_answer);
      return;
    case StoreCall::Kind::kWrite:
      m_store.CompareAndSwap(call.key, call.expected, call.value, on_answer);
      return;
  }
}

void LeaseService::LogStateChange() {
  const LeaseState now = state();
  if (now == m_last_state) {
    return;
  }
  if (now == LeaseState::kLapsed) {
    LogEvent(fleet_log::kLeaseLapsed, {{"lease", m_lease.key()}});
  } else if (now == LeaseState::kHeld && m_last_state == LeaseState::kLapsed) {
    LogEvent(fleet_log::kLeaseRecovered, {{"lease", m_lease.key()}});
  }
  m_last_state = now;
}

LeaseState LeaseService::state() const {
  return m_lease.StateAt(m_clock.Now());
}

std::string LeaseService::BlockedOperations() const {
  return state() == LeaseState::kLapsed
             ? "orders and VM starts of " + m_lease.key()
             : "";
}

}  // namespace pistachiowalk
