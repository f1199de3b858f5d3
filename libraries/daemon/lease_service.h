#pragma once

#include <string>

#include "base/audit_sink.h"
#include "base/clock.h"
#include "base/ids.h"
#include "fleet/lease_holder.h"
#include "net/event_loop.h"
#include "store/store_port.h"

namespace pistachiowalk {

// The shell of this node's part in its data centre's control lease: makes the
// core's store calls and tells its changes in the log and in the status.
class LeaseService {
 public:
  LeaseService(EventLoop& loop,
               const Clock& clock,
               StorePort& store,
               const NodeId& node,
               const DataCenterName& data_center,
               AuditSink& trail);
  LeaseService(const LeaseService&) = delete;
  LeaseService& operator=(const LeaseService&) = delete;

  void Start() { Step(); }
  const LeaseHolder& lease() const { return m_lease; }
  LeaseState state() const;
  // What does not happen for want of the lease; empty when nothing is held up.
  std::string BlockedOperations() const;

 private:
  // Writes the lease's changes into the log and the audit trail.
  class LoggingAuditSink final : public AuditSink {
   public:
    explicit LoggingAuditSink(AuditSink& trail) : m_trail(trail) {}
    void Record(const AuditRecord& record) override;

   private:
    AuditSink& m_trail;
  };

  void Step();
  void Perform(const StoreCall& call);
  void LogStateChange();

  EventLoop& m_loop;
  const Clock& m_clock;
  StorePort& m_store;
  LoggingAuditSink m_audit;
  LeaseHolder m_lease;
  LeaseState m_last_state = LeaseState::kWaiting;
};

}  // namespace pistachiowalk
