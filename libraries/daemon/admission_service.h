#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/problem.h"
#include "bundle/bundle.h"
#include "membership/node_port.h"
#include "net/event_loop.h"
#include "request/request_spec.h"
#include "routing/admission.h"
#include "routing/limit_share.h"
#include "routing/token_bucket.h"

namespace pistachiowalk {

class ActiveBundle;
class RoutingService;

// What a node tells the adding node of its demand, and what that answers.
struct LimitMessage {
  enum class Kind : uint8_t { kDemand, kSum };

  Kind kind = Kind::kDemand;
  std::string customer;
  double demand = 0.0;
  // The asking node's monotonic time, echoed with the sum.
  int64_t asked_at = 0;
  double total = 0.0;
  uint32_t members = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, customer, demand, asked_at, total, members);
  }
};

// Decides at the edge whether a request may enter: the customer's limit, split
// over the nodes of the data centre by demand, and the expected wait.
class AdmissionService {
 public:
  AdmissionService(EventLoop& loop,
                   const Clock& clock,
                   NodePort& nodes,
                   const ActiveBundle& bundle,
                   RoutingService& routing);

  void Start();
  // The refusal, or nullopt to admit. Nothing of a refused request has run.
  std::optional<Problem> Check(const Customer& customer,
                               const Service& service,
                               RequestKind kind);

 private:
  struct CustomerState {
    double limit = 0.0;
    std::optional<LimitShare> share;
    TokenBucket bucket;
    // Requests since the last tick, and their smoothed rate.
    double arrivals = 0.0;
    double demand = 0.0;
  };

  void Tick();
  void OnMessage(const NodeEnvelope& envelope);
  void ReportDemand(const std::string& customer, CustomerState& state);
  LimitMessage AddDemand(const NodeId& from, const LimitMessage& message);
  void ApplySum(const LimitMessage& message);
  CustomerState& FindOrCreateState(const Customer& customer);
  // This data centre's part of a limit.
  double LocalLimit(const Customer& customer) const;

  EventLoop& m_loop;
  const Clock& m_clock;
  NodePort& m_nodes;
  const ActiveBundle& m_bundle;
  RoutingService& m_routing;
  FairShareTracker m_use;
  std::map<std::string, CustomerState> m_customers;
  // Demand that this node adds up: by customer, then by node.
  std::map<std::string, std::map<NodeId, double>> m_demand_by_node;
};

}  // namespace pistachiowalk
