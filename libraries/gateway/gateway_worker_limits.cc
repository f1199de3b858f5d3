#include <fmt/format.h>

#include <algorithm>

#include "base/event_log.h"
#include "gateway/gateway.h"
#include "gateway/gateway_log_events.h"

// Part of Gateway: exchanges with peers the limits that workers name, and
// decides which nodes send to limited workers.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Interval between repeated messages, which replace lost ones, and its increase
// per receiver.
constexpr Duration kMinimumRepeatInterval = milliseconds(1000);
constexpr Duration kRepeatIntervalPerNode = milliseconds(40);
// Interval at which the shares of unchanged limits are computed, as nodes end
// and start.
constexpr Duration kShareInterval = milliseconds(500);
// Responses of this time are repeated.
constexpr Duration kRepeatedTime = seconds(5);
constexpr size_t kReportsPerDatagram = 2000;
// Bound of a message's age, as a sender's clock may be wrong.
constexpr Duration kMaximumMessageAge = seconds(30);

}  // namespace

void Gateway::OnWorkerLimits(const WorkerLimitState& state) {
  const TimePoint now = m_ports.clock.Now();
  const auto sent_at = std::chrono::system_clock::time_point(
      milliseconds(state.wall_milliseconds));
  const Duration age = std::clamp(
      std::chrono::duration_cast<Duration>(m_cluster_time.At(now) - sent_at),
      Duration::zero(), kMaximumMessageAge);
  const std::vector<uint64_t> news =
      m_worker_limits.Merge(state.reports, now - age, now);
  for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
    if (std::find(news.begin(), news.end(), endpoint->key()) == news.end()) {
      continue;
    }
    const auto limit = m_worker_limits.LimitOf(endpoint->key());
    LogEvent(gateway_log::kWorkerLimitHeard,
             {{"endpoint", id.value()},
              {"limit", limit ? fmt::format("{:.3f}", *limit) : "none"}});
  }
}

void Gateway::SendWorkerLimits(std::vector<WorkerLimitReport> reports,
                               const std::vector<NodeId>& receivers) {
  if (reports.empty()) {
    return;
  }
  const TimePoint now = m_ports.clock.Now();
  const auto wall = std::chrono::duration_cast<milliseconds>(
                        m_cluster_time.At(now).time_since_epoch())
                        .count();
  for (size_t first = 0; first < reports.size(); first += kReportsPerDatagram) {
    const size_t end = std::min(reports.size(), first + kReportsPerDatagram);
    m_digest_exchange->Send(
        WorkerLimitState{
            .wall_milliseconds = wall,
            .reports = {reports.begin() + static_cast<ptrdiff_t>(first),
                        reports.begin() + static_cast<ptrdiff_t>(end)}},
        AddressesOf(receivers));
  }
}

std::vector<NodeId> Gateway::LimitSenderCandidates(
    const DataCenterName& data_center) const {
  // NOTE: Requests cost least from nodes of the worker's own data centre, so
  // only these send while there are any, also if this node hears only their
  // representative. Otherwise all nodes that this one hears may send.
  std::vector<NodeId> local;
  std::vector<NodeId> all;
  const auto add = [&](const NodeId& node, const DataCenterName& place) {
    all.push_back(node);
    if (place == data_center) {
      local.push_back(node);
    }
  };
  add(m_settings.node, m_settings.data_center);
  for (const auto& [node, peer] : m_peers.peers()) {
    if (!peer.is_silent) {
      add(node, peer.entry.data_center);
    }
  }
  if (!local.empty() || m_data_centers.IsKnown(data_center)) {
    return local;
  }
  return all;
}

void Gateway::ComputeLimitShares(TimePoint now) {
  std::map<uint64_t, DataCenterName> place_of;
  if (m_worker_limits.limited_count() > 0) {
    for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
      place_of[endpoint->key()] = endpoint->entry().data_center;
    }
  }
  std::map<DataCenterName, std::vector<NodeId>> candidates;
  m_worker_limits.Step(
      [&](uint64_t worker, double requests_per_second) {
        const auto place = place_of.find(worker);
        if (place == place_of.end()) {
          return LimitSender{};
        }
        const auto [nodes, is_new] = candidates.try_emplace(place->second);
        if (is_new) {
          nodes->second = LimitSenderCandidates(place->second);
        }
        return ChooseLimitSender(worker, requests_per_second, m_settings.node,
                                 nodes->second);
      },
      now);
}

void Gateway::StepWorkerLimits() {
  const TimePoint now = m_ports.clock.Now();
  if (m_worker_limits.revision() != m_limit_shares_revision ||
      now - m_limit_shares_at >= kShareInterval) {
    m_limit_shares_revision = m_worker_limits.revision();
    m_limit_shares_at = now;
    ComputeLimitShares(now);
  }
  // NOTE: Only the representative of a data centre forwards what it hears.
  const bool forwards = m_digest_plan.represents_data_center;
  const uint64_t revision =
      forwards ? m_worker_limits.revision() : m_worker_limits.own_revision();
  const Duration interval =
      std::max(kMinimumRepeatInterval,
               kRepeatIntervalPerNode *
                   static_cast<int64_t>(m_digest_plan.direct.size()));
  if (revision == m_sent_limits_revision && now - m_limits_sent_at < interval) {
    return;
  }
  m_sent_limits_revision = revision;
  m_limits_sent_at = now;
  SendWorkerLimits(forwards
                       ? m_worker_limits.Reports(now)
                       : m_worker_limits.OwnReports(now - kRepeatedTime, now),
                   m_digest_plan.direct);
  if (forwards) {
    SendWorkerLimits(m_worker_limits.Reports(now), m_digest_plan.remote);
  }
}

}  // namespace pistachiowalk
