#include <algorithm>
#include <utility>

#include "gateway/gateway.h"

// Part of Gateway: the duties that only the holder of the duty lease performs.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Share of the engines' slots that running requests may occupy before more
// workers are needed.
constexpr double kTargetSlotUtilization = 0.7;
// Share of its limit above which a customer's usage is persisted.
constexpr double kRecordThreshold = 0.6;
// Time until the next record is in the store: the interval of the duties, the
// delay of a digest and the write.
constexpr Duration kRecordDelay = milliseconds(600);

double PromptTokensPerSecond(const std::vector<ServiceDemand>& demands,
                             const ServiceName& service) {
  double tokens = 0.0;
  for (const ServiceDemand& demand : demands) {
    if (demand.service == service) {
      tokens += demand.prompt_tokens_per_second;
    }
  }
  return tokens;
}

}  // namespace

void Gateway::StepDuties() {
  const TimePoint now = m_ports.clock.Now();
  std::vector<std::chrono::system_clock::time_point> peer_times;
  for (const auto& [node, peer] : m_peers.peers()) {
    if (!peer.is_silent) {
      peer_times.push_back(
          std::chrono::system_clock::time_point(
              milliseconds(peer.digest.wall_milliseconds)) +
          std::chrono::duration_cast<std::chrono::system_clock::duration>(
              now - *peer.heard_at));
    }
  }
  m_cluster_time.Synchronize(std::move(peer_times), now);
  if (m_is_stopping) {
    return;
  }
  const auto wall = m_cluster_time.At(now);
  m_usage_record.Step(
      NodeIncarnation{.node = m_settings.node, .incarnation = m_incarnation},
      m_usage.WindowOf(wall));
  if (m_usage_record.IsRestored()) {
    m_usage_reporter.Step(wall);
  } else {
    m_usage_reporter.StepIdle(wall);
  }
  RecordLimits();
  RecordQuarantine();
  RecordServiceVersions();
  // NOTE: Without the endpoint entries the existing workers are unknown.
  if (!m_edge.config || !m_endpoint_follower->has_state()) {
    return;
  }
  for (const auto& [name, service] : m_edge.config->services) {
    if (service.scaling) {
      ScaleWorkers(service);
    }
  }
}

void Gateway::RecordLimits() {
  if (!m_lease.MayAct() || !m_edge.config) {
    return;
  }
  const TimePoint now = m_ports.clock.Now();
  CustomerUsages near_limit;
  for (const auto& [name, customer] : m_edge.config->customers) {
    const double allowed = m_limits.AllowedUsage(CustomerLimit{
        .rate_per_second = customer.rate_per_second, .burst = customer.burst});
    const WindowUsage usage = m_limits.TotalUsage(name, now);
    if (allowed > 0.0 && usage.Total() >= kRecordThreshold * allowed) {
      near_limit[name] = ExtrapolateUsage(usage, ViewAge() + kRecordDelay,
                                          m_settings.limit_window);
    }
  }
  m_limit_record.Write(near_limit, m_cluster_time.At(now));
}

void Gateway::ScaleWorkers(const ServiceSpec& service) {
  const TimePoint now = m_ports.clock.Now();
  double tokens = m_edge.demand[service.name].Rate(now);
  for (const auto& [node, peer] : m_peers.peers()) {
    if (peer.is_silent) {
      continue;
    }
    tokens += PromptTokensPerSecond(peer.digest.demand, service.name);
  }
  for (const auto& [name, digest] : m_data_centers.digests()) {
    tokens += PromptTokensPerSecond(digest.demand, service.name);
  }
  ScalingInput input;
  uint32_t workers_of_target = 0;
  uint32_t workers_of_old_versions = 0;
  double running = 0.0;
  double slots = 1.0;
  std::vector<double> limits;
  for (const auto& [data_center, price] : service.scaling->prices) {
    input.workers[data_center] = DataCenterWorkers{};
  }
  for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
    const EndpointEntry& entry = endpoint->entry();
    if (entry.service != service.name) {
      continue;
    }
    DataCenterWorkers& at = input.workers[entry.data_center];
    ++(entry.is_reclaimable ? at.reclaimable : at.on_demand);
    ++(m_rollouts.IsTarget(service.name, entry.version)
           ? workers_of_target
           : workers_of_old_versions);
    slots = entry.slots;
    if (const auto limit = m_worker_limits.LimitOf(endpoint->key())) {
      limits.push_back(*limit);
    }
    running +=
        endpoint->own_work.requests + PeerWorkAt(endpoint->key()).requests;
  }
  const EngineSpeed speed = EstimateSpeed(m_edge.first_events[service.name]);
  const double tokens_per_worker = speed.prompt_tokens_per_ms * 1000.0;
  const double needed =
      tokens / tokens_per_worker + running / (slots * kTargetSlotUtilization);
  // NOTE: The requests of this node stand for those of all.
  const double own_tokens = m_edge.demand[service.name].Rate(now);
  const double own_requests = m_edge.demanded_requests[service.name].Rate(now);
  const double requests_per_worker =
      own_tokens > 0.0 ? tokens_per_worker * own_requests / own_tokens : 0.0;
  input.needed = LoadBesideLimits(needed, limits, requests_per_worker,
                                  input.workers.size());
  if (const auto stage = UndecidedStage(service.name)) {
    uint32_t serving = workers_of_old_versions;
    uint32_t beside = workers_of_target;
    if (*stage == RolloutStage::kMoving) {
      std::swap(serving, beside);
    }
    const std::optional<double> load =
        LoadDuringRollout(input.needed, serving, beside, input.workers.size());
    if (!load) {
      return;
    }
    input.needed = *load;
  }
  m_worker_scaler.Step(service.name, *service.scaling, std::move(input));
}

}  // namespace pistachiowalk
