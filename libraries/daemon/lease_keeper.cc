#include "daemon/lease_keeper.h"

#include <chrono>

#include "fleet/fleet_log_events.h"

namespace pistachiowalk {
namespace {

constexpr Duration kStepInterval = std::chrono::milliseconds(200);
// NOTE: Each waiting node's look is a read of the platform's store; at 2,500
// nodes this interval makes 250 of its 2,000 reads a second.
constexpr Duration kLookInterval = std::chrono::seconds(10);

LeaseTerms DaemonTerms() {
  LeaseTerms terms;
  terms.poll_interval = kLookInterval;
  return terms;
}

// Another process of the same node is another holder.
std::string HolderName(const NodeId& node, const Clock& clock) {
  const auto started = std::chrono::duration_cast<std::chrono::nanoseconds>(
      clock.WallNow().time_since_epoch());
  return node.value() + "." + std::to_string(started.count());
}

}  // namespace

void LeaseKeeper::Sink::Record(const AuditRecord& record) {
  LogEvent(record.action == "granted" ? fleet_log::kLeaseGranted
                                      : fleet_log::kLeaseLost,
           {{"lease", record.subject}, {"reason", record.reason}});
  m_trail.Record(record);
}

LeaseKeeper::LeaseKeeper(EventLoop& loop,
                         const Clock& clock,
                         StorePort& store,
                         const NodeId& node,
                         const DataCenterName& data_center,
                         AuditSink& trail)
    : m_loop(loop),
      m_clock(clock),
      m_store(store),
      m_sink(trail),
      m_lease("lease/" + data_center.value(),
              HolderName(node, clock),
              DaemonTerms(),
              m_sink) {}

void LeaseKeeper::Step() {
  if (const auto call = m_lease.Step(m_clock.Now(), m_clock.WallNow())) {
    Perform(*call);
  }
  NoteState();
  m_loop.Schedule(kStepInterval, [this] { Step(); });
}

void LeaseKeeper::Perform(const StoreCall& call) {
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

void LeaseKeeper::NoteState() {
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

LeaseState LeaseKeeper::state() const {
  return m_lease.StateAt(m_clock.Now());
}

std::string LeaseKeeper::StoppedWork() const {
  return state() == LeaseState::kLapsed
             ? "orders and VM starts of " + m_lease.key()
             : "";
}

}  // namespace pistachiowalk
