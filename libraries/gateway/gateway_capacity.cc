#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "base/event_log.h"
#include "gateway/gateway.h"
#include "gateway/gateway_log_events.h"

// Part of Gateway: exchanges with peers what was found out of the endpoints'
// capacity, and logs it.
namespace pistachiowalk {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);
// A pace from which an endpoint is logged as slow.
constexpr double kSlowPace = 1.4;

}  // namespace

void Gateway::OnEndpointCapacities(const EndpointCapacityState& state) {
  if (state.node != m_settings.node) {
    m_endpoints.peer_capacities().Apply(state, m_ports.clock.Now());
  }
}

void Gateway::StepCapacities() {
  const TimePoint now = m_ports.clock.Now();
  m_endpoints.peer_capacities().Step(now);
  if (!m_endpoints.learns_capacity()) {
    return;
  }
  if (now - m_capacities_sent_at >= DigestInterval()) {
    m_capacities_sent_at = now;
    SendCapacities(now);
  }
  if (now - m_capacities_logged_at >= kLogInterval) {
    m_capacities_logged_at = now;
    LogCapacities(now);
  }
}

void Gateway::SendCapacities(TimePoint now) {
  std::map<ServiceName, UsualPace> usual_pace;
  std::vector<EndpointCapacityReport> reports;
  for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
    const ServiceName& service = endpoint->entry().service;
    const auto [usual, is_new] = usual_pace.try_emplace(service);
    if (is_new) {
      usual->second = m_endpoints.UsualPaceOf(service, now);
    }
    const std::optional<EndpointCapacityReport> report = DescribeCapacity(
        endpoint->key(), endpoint->capacity, endpoint->work_time.latest,
        usual->second,
        m_endpoints.peer_capacities().IsReported(endpoint->key()), now);
    if (report) {
      reports.push_back(*report);
    }
  }
  if (reports.empty() && !m_has_sent_capacities) {
    return;
  }
  m_has_sent_capacities = !reports.empty();
  if (reports.size() > kMaximumCapacityReports) {
    std::stable_sort(reports.begin(), reports.end(),
                     [](const auto& a, const auto& b) {
                       return a.pace_weight + a.short_gap_weight >
                              b.pace_weight + b.short_gap_weight;
                     });
    reports.resize(kMaximumCapacityReports);
  }
  m_digest_exchange->Send(
      EndpointCapacityState{.node = m_settings.node,
                            .incarnation = m_incarnation,
                            .sequence = ++m_capacities_sequence,
                            .reports = std::move(reports)},
      AddressesOf(m_digest_plan.direct));
}

void Gateway::LogCapacities(TimePoint now) {
  std::map<ServiceName, UsualPace> usual_pace;
  std::set<EndpointId> slow;
  for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
    const ServiceName& service = endpoint->entry().service;
    const auto [usual, is_new] = usual_pace.try_emplace(service);
    if (is_new) {
      usual->second = m_endpoints.UsualPaceOf(service, now);
    }
    const CapacitySamples samples = m_endpoints.SamplesOf(*endpoint, now);
    const double pace = PaceFactor(samples, usual->second, now);
    const bool is_slow = pace >= kSlowPace;
    if (is_slow) {
      slow.insert(id);
    }
    if (is_slow == m_slow_endpoints.contains(id)) {
      continue;
    }
    LogEvent(
        gateway_log::kEndpointCapacity,
        {{"endpoint", id.value()},
         {"service", service.value()},
         {"pace", fmt::format("{:.2f}", pace)},
         {"in_flight", std::to_string(endpoint->own_work.requests +
                                      PeerWorkAt(endpoint->key()).requests)},
         {"first_events", fmt::format("{:.1f}", samples.pace_weight)},
         {"short_gaps", fmt::format("{:.1f}", samples.short_gap_weight)}});
  }
  m_slow_endpoints = std::move(slow);
}

}  // namespace pistachiowalk
