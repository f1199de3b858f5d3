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

// A node's report of a customer's demand to the aggregating node, and the
// aggregator's reply with the sum over all nodes.
struct LimitMessage {
  enum class Kind : uint8_t { kDemand, kSum };

  Kind kind = Kind::kDemand;
  std::string customer;
  double demand = 0.0;
  // Monotonic time of the reporting node; the reply echoes it.
  int64_t reported_at = 0;
  double total = 0.0;
  uint32_t members = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, customer, demand, reported_at, total, members);
  }
};

// Admits or rejects requests before they are routed. It enforces each
// customer's rate limit, which the nodes of the data centre share by demand,
// and rejects requests whose expected wait is too long.
class AdmissionService {
 public:
  AdmissionService(EventLoop& loop,
                   const Clock& clock,
                   NodePort& nodes,
                   const ActiveBundle& bundle,
                   RoutingService& routing);

  void Start();
  // Returns nullopt if the request is admitted, otherwise the problem to send.
  // No part of a rejected request has run.
  std::optional<Problem> Check(const Customer& customer,
                               const Service& service,
                               RequestKind kind);

 private:
  struct CustomerState {
    double limit = 0.0;
    std::optional<LimitShare> share;
    TokenBucket bucket;
    // Requests since the last tick.
    double arrivals = 0.0;
    // Smoothed rate of requests.
    double demand = 0.0;
  };

  void Tick();
  void OnMessage(const NodeEnvelope& envelope);
  void ReportDemand(const std::string& customer, CustomerState& state);
  LimitMessage AddDemand(const NodeId& from, const LimitMessage& message);
  void ApplySum(const LimitMessage& message);
  CustomerState& FindOrCreateState(const Customer& customer);
  // This data centre's share of the customer's limit.
  double LocalLimit(const Customer& customer) const;

  EventLoop& m_loop;
  const Clock& m_clock;
  NodePort& m_nodes;
  const ActiveBundle& m_bundle;
  RoutingService& m_routing;
  FairShareTracker m_fair_share;
  std::map<std::string, CustomerState> m_customers;
  // Demand that this node aggregates, by customer and reporting node.
  std::map<std::string, std::map<NodeId, double>> m_demand_by_node;
};

}  // namespace pistachiowalk
