#include "duty/duty_lease.h"

#include "duty/duty_log_events.h"
#include "store/store_port.h"

namespace pistachiowalk {
namespace {

// How often LeaseHolder is polled for its next call; short compared with the
// lease terms, which are in seconds.
constexpr Duration kStepInterval = std::chrono::milliseconds(200);

}  // namespace

void DutyLease::LogAudit::Record(const AuditRecord& record) {
  LogEvent(duty_log::kDutyLease, {{"node", record.actor},
                                  {"lease", record.subject},
                                  {"action", record.action},
                                  {"reason", record.reason}});
}

DutyLease::DutyLease(EventLoop& loop,
                     const Clock& clock,
                     StorePort& store,
                     std::string key,
                     std::string holder,
                     LeaseTerms terms,
                     IsHolderResponsive is_holder_responsive)
    : m_loop(loop),
      m_clock(clock),
      m_store(store),
      m_holder(std::move(key), std::move(holder), terms, m_audit),
      m_is_holder_responsive(std::move(is_holder_responsive)) {}

DutyLease::~DutyLease() {
  m_loop.Cancel(m_timer);
}

void DutyLease::Start() {
  Step();
}

void DutyLease::Release(const std::string& reason) {
  if (state() != LeaseState::kWaiting) {
    m_released_fence = m_holder.fence();
  }
  m_holder.Release(reason);
}

void DutyLease::NoteStoreLost() {
  if (!m_is_stopped) {
    Release("the store is unreachable");
  }
}

void DutyLease::Stop() {
  Release("this node is shutting down");
  m_is_stopped = true;
  m_loop.Cancel(m_timer);
}

bool DutyLease::MayAct() const {
  return !m_is_stopped && m_holder.MayOrder(m_clock.Now());
}

LeaseState DutyLease::state() const {
  return m_holder.StateAt(m_clock.Now());
}

void DutyLease::NoteSuperseded(FencingNumber used) {
  if (used < m_holder.fence()) {
    // The call was sent under an earlier grant of this node.
    return;
  }
  LogEvent(
      duty_log::kDutySuperseded,
      {{"lease", m_holder.key()}, {"fence", std::to_string(m_holder.fence())}});
  m_holder.NoteSuperseded(m_holder.fence() + 1);
}

void DutyLease::Step() {
  m_timer = m_loop.Schedule(kStepInterval, [this] { Step(); });
  // NOTE: Reading the lease costs a store call and is pointless while digests
  // of its holder are being received. The wait for a silent holder's lease to
  // expire starts with the first read after that.
  if (state() == LeaseState::kWaiting && m_is_holder_responsive()) {
    return;
  }
  const std::optional<StoreCall> call =
      m_holder.Step(m_clock.Now(), m_clock.WallNow());
  if (call) {
    const auto answer =
        [this, number = call->number,
         alive = std::weak_ptr(m_alive)](const StoreResult& result) {
          if (!alive.expired()) {
            m_holder.OnAnswer(number, result, m_clock.Now());
          }
        };
    if (call->kind == StoreCall::Kind::kRead) {
      m_store.Get(call->key, answer);
    } else {
      m_store.CompareAndSwap(call->key, call->expected, call->value, answer);
    }
  }
}

}  // namespace pistachiowalk
