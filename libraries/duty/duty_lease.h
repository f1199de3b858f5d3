#pragma once

#include <functional>

#include "base/audit_sink.h"
#include "base/clock.h"
#include "fleet/lease_holder.h"
#include "net/event_loop.h"

namespace pistachiowalk {

class StorePort;

// Runs a LeaseHolder against the platform's store. The holder of the lease
// performs the duties of the deployment: reporting usage and scaling workers.
class DutyLease {
 public:
  // Returns whether digests of another node that holds the lease are being
  // received.
  using IsHolderResponsive = std::function<bool()>;

  DutyLease(EventLoop& loop,
            const Clock& clock,
            StorePort& store,
            std::string key,
            std::string holder,
            LeaseTerms terms,
            IsHolderResponsive is_holder_responsive);
  ~DutyLease();
  DutyLease(const DutyLease&) = delete;
  DutyLease& operator=(const DutyLease&) = delete;

  void Start();
  // Releases the lease for good.
  void Stop();
  // Called when the store is unreachable from this node. Releases the lease, as
  // it cannot be renewed and other nodes may still reach the store.
  void NoteStoreLost();
  // Called when another node released the grant with this fencing number.
  void NoteReleased(FencingNumber fence) { m_holder.NoteReleased(fence); }
  // Fencing number of the last grant that this node released, 0 for none.
  FencingNumber released_fence() const { return m_released_fence; }
  // Called when a response of the store named a later history.
  void NoteHistory(StoreHistory history) {
    m_holder.NoteHistory(history, m_clock.Now());
  }
  bool MayAct() const;
  FencingNumber fence() const { return m_holder.fence(); }
  LeaseState state() const;
  // See LeaseHolder.
  std::optional<std::chrono::system_clock::time_point> history_since() const {
    return m_holder.history_since();
  }
  std::chrono::system_clock::time_point held_since() const {
    return m_holder.held_since();
  }
  // Called when the cloud has seen a higher fencing number than `used`, that of
  // a call.
  void NoteSuperseded(FencingNumber used);

 private:
  // Writes lease changes to the log.
  class LogAudit final : public AuditSink {
   public:
    void Record(const AuditRecord& record) override;
  };

  void Step();
  void Release(const std::string& reason);

  EventLoop& m_loop;
  const Clock& m_clock;
  StorePort& m_store;
  LogAudit m_audit;
  LeaseHolder m_holder;
  IsHolderResponsive m_is_holder_responsive;
  TimerId m_timer = 0;
  bool m_is_stopped = false;
  FencingNumber m_released_fence = 0;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
