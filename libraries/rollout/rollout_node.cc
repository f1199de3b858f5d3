#include "rollout/rollout_node.h"

#include <algorithm>
#include <utility>

namespace pistachiowalk {
namespace {

// Maximum time for which an unconfirmed state lets requests go to a target
// under judgement, and its share of the time for a roll-back.
constexpr Duration kMaximumConfirmation = std::chrono::seconds(3);
constexpr double kConfirmationShare = 0.6;
// A target without a good verdict is barred for this long after its order was
// due, when the order is replaced or withdrawn.
constexpr Duration kBarredAfterDue = std::chrono::seconds(30);
constexpr size_t kMaximumBarred = 8;

}  // namespace

bool RolloutNode::IsStateInForce(const Entry& entry) {
  if (!entry.state) {
    return false;
  }
  return !entry.order ||
         IsSameOrder(entry.state->position, entry.order->position) ||
         entry.state->position > entry.order->position;
}

const SoftwareVersion* RolloutNode::TargetOf(const Entry& entry) {
  if (IsStateInForce(entry)) {
    return &entry.state->target;
  }
  return entry.order ? &entry.order->target : nullptr;
}

StorePosition RolloutNode::PositionOf(const Entry& entry) {
  if (IsStateInForce(entry)) {
    return entry.state->position;
  }
  return entry.order ? entry.order->position : StorePosition{};
}

bool RolloutNode::IsDecided(const Entry& entry) {
  return IsStateInForce(entry) &&
         (entry.state->stage == RolloutStage::kCompleted ||
          entry.state->stage == RolloutStage::kRolledBack);
}

void RolloutNode::Bar(Entry& entry, TimePoint now) {
  std::erase_if(entry.barred,
                [now](const Barred& barred) { return barred.until <= now; });
  const SoftwareVersion* target = TargetOf(entry);
  const bool is_good =
      IsStateInForce(entry) && (entry.state->stage == RolloutStage::kMoving ||
                                entry.state->stage == RolloutStage::kCompleted);
  if (target == nullptr || is_good) {
    return;
  }
  TimePoint until = now + kBarredAfterDue;
  if (entry.order) {
    until = entry.ordered_at + entry.order->duration + kBarredAfterDue;
  } else if (entry.state) {
    until += std::chrono::milliseconds(
        std::max<int64_t>(0, entry.state->due_ms - entry.state->ordered_ms));
  }
  if (until > now && entry.barred.size() < kMaximumBarred) {
    entry.barred.push_back(Barred{.version = *target, .until = until});
  }
}

bool RolloutNode::ServesAlone(const RolloutOrder& order) const {
  const auto of_service = [&](const auto& listed) {
    return listed.first == order.service;
  };
  return m_listed.contains({order.service, order.target}) &&
         std::count_if(m_listed.begin(), m_listed.end(), of_service) == 1;
}

void RolloutNode::SetOrders(const std::vector<RolloutOrder>& orders,
                            TimePoint now) {
  for (auto& known : m_entries) {
    const ServiceName& service = known.first;
    Entry& entry = known.second;
    const bool is_listed = std::any_of(
        orders.begin(), orders.end(),
        [&](const auto& order) { return order.service == service; });
    if (!is_listed && entry.order && !entry.is_withdrawn) {
      entry.is_withdrawn = true;
      Bar(entry, now);
      ++m_revision;
    }
  }
  for (const RolloutOrder& order : orders) {
    Entry& entry = m_entries[order.service];
    if (entry.order && IsSameOrder(entry.order->position, order.position) &&
        entry.order->target == order.target) {
      if (entry.is_withdrawn) {
        entry.is_withdrawn = false;
        std::erase_if(entry.barred, [&](const Barred& barred) {
          return barred.version == order.target;
        });
        ++m_revision;
      }
      continue;
    }
    if (entry.order && order.position < entry.order->position) {
      continue;
    }
    const bool is_of_state =
        IsStateInForce(entry) && entry.state->target == order.target &&
        (IsSameOrder(entry.state->position, order.position) ||
         entry.state->position > order.position);
    if (!is_of_state) {
      if (!entry.is_withdrawn) {
        Bar(entry, now);
      }
      entry.state.reset();
      entry.counts.clear();
      entry.evidence = OwnEvidence{};
    }
    entry.order = order;
    entry.ordered_at = now;
    entry.is_withdrawn = false;
    entry.served_alone = ServesAlone(order);
    std::erase_if(entry.barred, [&](const Barred& barred) {
      return barred.version == order.target;
    });
    ++m_revision;
  }
}

void RolloutNode::SetRollBackTime(std::chrono::milliseconds roll_back) {
  m_confirmation = std::min(
      kMaximumConfirmation,
      std::chrono::duration_cast<Duration>(kConfirmationShare * roll_back));
}

bool RolloutNode::Merge(const RolloutState& state, TimePoint now) {
  return MergeState(state, now, now);
}

bool RolloutNode::MergeUnconfirmed(const RolloutState& state, TimePoint now) {
  return MergeState(state, std::nullopt, now);
}

bool RolloutNode::MergeState(const RolloutState& state,
                             std::optional<TimePoint> confirmed_at,
                             TimePoint now) {
  Entry& entry = m_entries[state.service];
  const bool is_of_order = entry.order &&
                           IsSameOrder(state.position, entry.order->position) &&
                           state.target == entry.order->target;
  if (entry.order && !is_of_order && state.position < entry.order->position) {
    return false;
  }
  if (entry.state) {
    const RolloutState& known = *entry.state;
    if (IsSameOrder(known.position, state.position) &&
        known.target == state.target) {
      if (state.number == known.number && confirmed_at) {
        entry.confirmed_at = *confirmed_at;
      }
      if (state.number <= known.number) {
        return false;
      }
    } else if (state.position < known.position) {
      return false;
    }
  }
  const bool is_other_order = TargetOf(entry) != nullptr &&
                              (*TargetOf(entry) != state.target ||
                               !IsSameOrder(PositionOf(entry), state.position));
  if (is_other_order) {
    if (!entry.is_withdrawn) {
      Bar(entry, now);
    }
    entry.counts.clear();
    entry.evidence = OwnEvidence{};
    entry.is_withdrawn = false;
    entry.served_alone = false;
    std::erase_if(entry.barred, [&](const Barred& barred) {
      return barred.version == state.target;
    });
  } else if (entry.state && entry.state->stage != state.stage) {
    // The holder saw the counts of all nodes.
    entry.evidence = OwnEvidence{};
  }
  entry.state = state;
  if (is_other_order) {
    entry.confirmed_at = TimePoint{};
  }
  if (confirmed_at) {
    entry.confirmed_at = *confirmed_at;
  }
  ++m_revision;
  return true;
}

VersionRule RolloutNode::RuleFor(const ServiceName& service,
                                 double draw,
                                 TimePoint now,
                                 const std::string& route) const {
  VersionRule rule;
  const auto found = m_entries.find(service);
  if (found == m_entries.end()) {
    return rule;
  }
  const Entry& entry = found->second;
  for (const Barred& barred : entry.barred) {
    if (now < barred.until) {
      rule.barred.push_back(barred.version);
    }
  }
  const SoftwareVersion* target = TargetOf(entry);
  if (target == nullptr || entry.is_withdrawn) {
    return rule;
  }
  rule.target = *target;
  rule.salt = RolloutSalt(service, PositionOf(entry));
  if (entry.served_alone && (!IsStateInForce(entry) ||
                             entry.state->stage == RolloutStage::kJudging)) {
    return rule;
  }
  rule.side = VersionRule::Side::kOldVersions;
  if (!IsStateInForce(entry)) {
    return rule;
  }
  const RolloutState& state = *entry.state;
  switch (state.stage) {
    case RolloutStage::kJudging: {
      if (now - entry.confirmed_at > m_confirmation ||
          entry.evidence.IsAgainstTarget()) {
        break;
      }
      const auto own = std::find_if(
          state.route_shares.begin(), state.route_shares.end(),
          [&](const RouteShare& share) { return share.route == route; });
      const double share =
          own == state.route_shares.end() ? state.share : own->share;
      if (draw < share) {
        rule.side = VersionRule::Side::kTargetFirst;
        rule.endpoint_share = state.endpoint_share;
      }
      break;
    }
    case RolloutStage::kMoving:
      // A node that stops says so in its report.
      if (!entry.evidence.IsAgainstTarget()) {
        rule.side = VersionRule::Side::kTargetFirst;
      }
      break;
    case RolloutStage::kCompleted:
      rule.side = VersionRule::Side::kTargetOnly;
      break;
    case RolloutStage::kRolledBack:
      break;
  }
  return rule;
}

bool RolloutNode::IsTarget(const ServiceName& service,
                           const SoftwareVersion& version) const {
  const auto found = m_entries.find(service);
  if (found == m_entries.end() || found->second.is_withdrawn) {
    return false;
  }
  const SoftwareVersion* target = TargetOf(found->second);
  return target != nullptr && *target == version;
}

VersionCounts* RolloutNode::CountsOf(const ServiceName& service,
                                     const std::string& route,
                                     const SoftwareVersion& version,
                                     uint64_t endpoint_key,
                                     VersionCounts** worker) {
  const auto found = m_entries.find(service);
  if (found == m_entries.end() || found->second.is_withdrawn ||
      IsDecided(found->second)) {
    return nullptr;
  }
  Entry& entry = found->second;
  const SoftwareVersion* target = TargetOf(entry);
  if (target == nullptr || (!entry.counts.contains(route) &&
                            entry.counts.size() >= kMaximumRolloutRoutes)) {
    return nullptr;
  }
  RouteVersionCounts& counts = entry.counts[route];
  counts.route = route;
  if (version != *target) {
    return &counts.old_versions;
  }
  auto& workers = counts.target_workers;
  const auto own = std::find_if(workers.begin(), workers.end(),
                                [&](const WorkerVersionCounts& known) {
                                  return known.endpoint_key == endpoint_key;
                                });
  if (own != workers.end()) {
    *worker = &own->counts;
  } else if (endpoint_key != 0 && workers.size() < kMaximumRolloutWorkers) {
    *worker =
        &workers.emplace_back(WorkerVersionCounts{.endpoint_key = endpoint_key})
             .counts;
  }
  return &counts.target;
}

void RolloutNode::RecordSend(const ServiceName& service,
                             const std::string& route,
                             const SoftwareVersion& version,
                             TimePoint /*now*/,
                             uint64_t endpoint_key) {
  VersionCounts* worker = nullptr;
  VersionCounts* counts =
      CountsOf(service, route, version, endpoint_key, &worker);
  for (VersionCounts* each : {counts, worker}) {
    if (each != nullptr) {
      ++each->sent;
    }
  }
}

void RolloutNode::RecordResult(const ServiceName& service,
                               const std::string& route,
                               const SoftwareVersion& version,
                               const RolloutResult& result,
                               TimePoint now,
                               uint64_t endpoint_key) {
  VersionCounts* worker = nullptr;
  VersionCounts* counts =
      CountsOf(service, route, version, endpoint_key, &worker);
  if (counts == nullptr) {
    return;
  }
  for (VersionCounts* each : {counts, worker}) {
    if (each == nullptr) {
      continue;
    }
    ++(result.is_good ? each->good : each->bad);
    if (result.milliseconds) {
      ++each->times.at(RolloutTimeBucket(*result.milliseconds));
    }
  }
  m_entries[service].evidence.Add(route, IsTarget(service, version),
                                  endpoint_key, result, now);
}

std::vector<RolloutOrder> RolloutNode::Orders() const {
  std::vector<RolloutOrder> orders;
  for (const auto& [service, entry] : m_entries) {
    if (entry.order && !entry.is_withdrawn) {
      orders.push_back(*entry.order);
    }
  }
  return orders;
}

std::vector<RolloutState> RolloutNode::States() const {
  std::vector<RolloutState> states;
  for (const auto& [service, entry] : m_entries) {
    if (IsStateInForce(entry) && !entry.is_withdrawn) {
      states.push_back(*entry.state);
    }
  }
  return states;
}

std::vector<RolloutReport> RolloutNode::Reports() const {
  std::vector<RolloutReport> reports;
  for (const auto& [service, entry] : m_entries) {
    if (TargetOf(entry) == nullptr || entry.is_withdrawn || IsDecided(entry)) {
      continue;
    }
    RolloutReport report{.service = service,
                         .position = PositionOf(entry),
                         .has_stopped = entry.evidence.IsAgainstTarget()};
    for (const auto& [route, counts] : entry.counts) {
      report.routes.push_back(counts);
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace pistachiowalk
