#include "daemon/admission_service.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <chrono>
#include <cmath>
#include <exception>
#include <set>
#include <sstream>

#include "daemon/active_bundle.h"
#include "daemon/routing_service.h"

namespace pistachiowalk {
namespace {

constexpr Duration kTickInterval = std::chrono::seconds(1);
// Weight of the newest second in the exponential moving average of demand.
constexpr double kDemandSmoothingFactor = 0.3;
// Customers with less demand per second are not reported.
constexpr double kMinimumReportedDemand = 0.01;
constexpr double kBurstSeconds = 1.0;
// Seconds of its even share that a node which has just joined may admit at
// once, before it has received the first sum of demands.
constexpr double kInitialBurstSeconds = 3.0;

std::string Encode(const LimitMessage& message) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  return stream.str();
}

// Returns nullopt if the payload is malformed.
std::optional<LimitMessage> Decode(const std::string& payload) {
  if (payload.size() > kMaximumDatagramPayload) {
    return std::nullopt;
  }
  std::istringstream stream(payload);
  LimitMessage message;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(message);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  const bool is_valid = std::isfinite(message.demand) &&
                        message.demand >= 0.0 && std::isfinite(message.total) &&
                        message.total >= 0.0;
  return is_valid ? std::optional(message) : std::nullopt;
}

size_t DataCenterCount(const Bundle& bundle) {
  std::set<DataCenterName> names;
  for (const Place& place : bundle.places) {
    names.insert(place.data_center);
  }
  return std::max<size_t>(1, names.size());
}

}  // namespace

AdmissionService::AdmissionService(EventLoop& loop,
                                   const Clock& clock,
                                   NodePort& nodes,
                                   const ActiveBundle& bundle,
                                   RoutingService& routing)
    : m_loop(loop),
      m_clock(clock),
      m_nodes(nodes),
      m_bundle(bundle),
      m_routing(routing) {}

void AdmissionService::Start() {
  m_nodes.OnMessage(
      NodeMessageKind::kLimitDemand,
      [this](const NodeEnvelope& envelope) { OnMessage(envelope); });
  m_loop.Schedule(kTickInterval, [this] { Tick(); });
}

double AdmissionService::LocalLimit(const Customer& customer) const {
  // FIXME: The limit is split evenly between data centres. Splitting it by
  // demand requires sums of demand across data centres.
  const auto count = static_cast<double>(DataCenterCount(*m_bundle.current()));
  return customer.requests_per_second / count;
}

AdmissionService::CustomerState& AdmissionService::FindOrCreateState(
    const Customer& customer) {
  CustomerState& state = m_customers[customer.name.value()];
  const double limit = LocalLimit(customer);
  if (!state.share) {
    const auto members =
        static_cast<uint32_t>(std::max<size_t>(1, m_nodes.LocalNodes().size()));
    state.share.emplace(limit, members);
    state.bucket.tokens = std::max(1.0, limit / members * kInitialBurstSeconds);
    state.bucket.refilled_at = m_clock.Now();
  } else if (state.limit != limit) {
    state.share->SetLimit(limit, m_clock.Now());
  }
  state.limit = limit;
  return state;
}

std::optional<Problem> AdmissionService::Check(const Customer& customer,
                                               const Service& service,
                                               RequestKind kind) {
  const TimePoint now = m_clock.Now();
  CustomerState& state = FindOrCreateState(customer);
  state.arrivals += 1.0;
  // NOTE: Actions are counted but never rejected here: the rejection would
  // report `not-run` although an earlier request with the same idempotency key
  // may have run.
  if (kind == RequestKind::kAction) {
    return std::nullopt;
  }
  const double rate = state.share->Share(now);
  const double burst =
      std::max({1.0, rate * kBurstSeconds, state.bucket.tokens});
  RefillBucket(state.bucket, rate, burst, now);
  if (customer.requests_per_second > 0.0 && !TakeTokens(state.bucket, 1.0)) {
    const double wait = (1.0 - state.bucket.tokens) / std::max(rate, 0.01);
    return Problem{.kind = ProblemKind::kLimitExceeded,
                   .outcome = RunOutcome::kNotRun,
                   .detail = "the customer's requests_per_second is used up",
                   .retry_after = std::chrono::seconds(
                       static_cast<int64_t>(std::ceil(wait)))};
  }
  const AdmissionDecision decision = DecideAdmission(
      {.priority = service.priority,
       .expected_wait = m_routing.ExpectedWait(service),
       .wait_target = service.first_token_target,
       .fair_share_ratio = m_fair_share.FairShareRatio(customer.name, now)});
  if (decision.verdict == AdmissionVerdict::kOverloaded) {
    return Problem{.kind = ProblemKind::kOverloaded,
                   .outcome = RunOutcome::kNotRun,
                   .detail = "the answer could not begin in time",
                   .retry_after = decision.retry_after};
  }
  m_fair_share.RecordRequest(customer.name, customer.weight, now);
  return std::nullopt;
}

void AdmissionService::Tick() {
  for (auto& [customer, state] : m_customers) {
    state.demand += kDemandSmoothingFactor * (state.arrivals - state.demand);
    state.arrivals = 0.0;
    if (state.demand >= kMinimumReportedDemand) {
      ReportDemand(customer, state);
    }
  }
  m_loop.Schedule(kTickInterval, [this] { Tick(); });
}

void AdmissionService::ReportDemand(const std::string& customer,
                                    CustomerState& state) {
  const LimitMessage message{
      .kind = LimitMessage::Kind::kDemand,
      .customer = customer,
      .demand = state.demand,
      .reported_at = m_clock.Now().time_since_epoch().count()};
  const std::vector<NodeView> nodes = m_nodes.LocalNodes();
  // Hashing the customer's name gives the same aggregator on every node and
  // spreads the customers over the nodes.
  const NodeId aggregator =
      nodes.empty() ? m_nodes.self()
                    : nodes[EndpointKey(customer) % nodes.size()].node;
  if (aggregator == m_nodes.self()) {
    ApplySum(AddDemand(aggregator, message));
  } else {
    m_nodes.Send(aggregator, NodeMessageKind::kLimitDemand, Encode(message));
  }
}

LimitMessage AdmissionService::AddDemand(const NodeId& from,
                                         const LimitMessage& message) {
  std::map<NodeId, double>& demands = m_demand_by_node[message.customer];
  demands[from] = message.demand;
  const std::vector<NodeView> nodes = m_nodes.LocalNodes();
  std::erase_if(demands, [&nodes, &from](const auto& entry) {
    return entry.first != from &&
           std::none_of(nodes.begin(), nodes.end(),
                        [&entry](const NodeView& view) {
                          return view.node == entry.first;
                        });
  });
  LimitMessage sum = message;
  sum.kind = LimitMessage::Kind::kSum;
  sum.members = static_cast<uint32_t>(std::max(nodes.size(), demands.size()));
  for (const auto& [node, demand] : demands) {
    sum.total += demand;
  }
  return sum;
}

void AdmissionService::ApplySum(const LimitMessage& message) {
  const auto it = m_customers.find(message.customer);
  if (it == m_customers.end()) {
    return;
  }
  const TimePoint reported_at{Duration(message.reported_at)};
  it->second.share->Apply(message.demand,
                          DemandSum{.total = message.total,
                                    .members = message.members,
                                    .summed_at = reported_at},
                          m_clock.Now());
}

void AdmissionService::OnMessage(const NodeEnvelope& envelope) {
  const std::optional<LimitMessage> message = Decode(envelope.payload);
  if (!message) {
    return;
  }
  if (message->kind == LimitMessage::Kind::kSum) {
    ApplySum(*message);
    return;
  }
  // Only customers of the bundle are aggregated, which bounds the memory.
  const auto& bundle = m_bundle.current();
  const bool is_known =
      bundle && std::any_of(bundle->customers.begin(), bundle->customers.end(),
                            [&message](const Customer& customer) {
                              return customer.name.value() == message->customer;
                            });
  if (is_known) {
    m_nodes.Send(envelope.sender, NodeMessageKind::kLimitDemand,
                 Encode(AddDemand(envelope.sender, *message)));
  }
}

}  // namespace pistachiowalk
