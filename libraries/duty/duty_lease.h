#pragma once

#include <functional>

#include "base/audit_sink.h"
#include "base/clock.h"
#include "fleet/lease_holder.h"
#include "net/event_loop.h"

namespace pistachiowalk {

class StorePort;

// Drives a LeaseHolder over the platform's store.
class DutyLease {
 public:
  // Says whether another node that holds the lease was heard of just now.
  using HolderHeard = std::function<bool()>;

  DutyLease(EventLoop& loop,
            const Clock& clock,
            StorePort& store,
            std::string key,
            std::string holder,
            LeaseTerms terms,
            HolderHeard holder_heard);
  ~DutyLease();
  DutyLease(const DutyLease&) = delete;
  DutyLease& operator=(const DutyLease&) = delete;

  void Start();
  // Releases the lease and takes no further part.
  void Stop();
  // Releases the lease while the store does not answer this node, as it can be
  // renewed by no means and others may reach the store.
  void NoteStoreLost();
  // Another node released the grant with this number.
  void NoteReleased(FencingNumber fence) { m_holder.NoteReleased(fence); }
  // The last grant that this node has released, 0 for none.
  FencingNumber released_fence() const { return m_released_fence; }
  bool MayAct() const;
  FencingNumber fence() const { return m_holder.fence(); }
  LeaseState state() const;
  // The cloud has seen a higher number.
  void NoteSuperseded();

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
  HolderHeard m_holder_heard;
  TimerId m_timer = 0;
  bool m_is_stopped = false;
  FencingNumber m_released_fence = 0;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
