#pragma once

#include <string>

namespace pistachiowalk {

// One change to the configuration, the membership, a lease or a worker order.
struct AuditRecord {
  // Who made the change: an operator's key or a node.
  std::string actor;
  // What changed, for example "bundle" or "order/vm-17/load".
  std::string subject;
  // The change, for example "in_force".
  std::string action;
  std::string reason;
  std::string before;
  std::string after;

  friend auto operator<=>(const AuditRecord&, const AuditRecord&) = default;
};

// Receives audit records; the audit trail links them into a hash chain.
class AuditSink {
 public:
  virtual ~AuditSink() = default;
  virtual void Record(const AuditRecord& record) = 0;
};

}  // namespace pistachiowalk
