#pragma once

#include <string>

#include "base/audit_sink.h"
#include "base/clock.h"
#include "base/ids.h"
#include "fleet/lease_holder.h"
#include "net/event_loop.h"
#include "store/store_port.h"

namespace pistachiowalk {

// Competes for the control lease of this node's data centre. It performs the
// store calls of the LeaseHolder core and reports changes of the lease in the
// log, the audit trail and the status document.
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
  // Describes the operations that are blocked while the lease is lapsed; empty
  // if none are.
  std::string BlockedOperations() const;

 private:
  // Writes each change of the lease to the log and the audit trail.
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
