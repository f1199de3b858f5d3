#include "rollout/rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "rollout/version_rule.h"

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Nodes that have just started list workers one after the other.
constexpr Duration kListingTime = std::chrono::seconds(2);
// Time without a worker of the target after which a move is given up.
constexpr Duration kMaximumTargetGone = std::chrono::seconds(3);
// Requests may reach old workers for this time after the move.
constexpr Duration kMinimumMove = std::chrono::milliseconds(1500);
// Time for which nothing must run at the old versions. Both are at least this
// many times the age of the counts.
constexpr Duration kDrainedTime = std::chrono::milliseconds(500);
constexpr int kViewAges = 2;
// Requests at the old versions that are broken off to complete in time, as
// a part of those that ran there when the move began.
constexpr double kBreakablePart = 0.01;
// What runs at the old versions for this long after the end is broken off.
constexpr milliseconds kMaximumLateness{20000};
// Times between changes of the shares, which are writes to the store.
constexpr Duration kPlanningInterval = std::chrono::seconds(2);
constexpr double kNotableFall = 0.85;
constexpr double kNotableRise = 1.25;

bool IsOf(const RolloutState& state, const RolloutOrder& order) {
  return state.service == order.service && state.target == order.target &&
         IsSameOrder(state.position, order.position);
}

RolloutDecision MakeDecision(const RolloutState& state,
                             RolloutStage stage,
                             std::string reason,
                             int64_t cluster_ms) {
  RolloutDecision decision{.state = state, .reason = std::move(reason)};
  ++decision.state.number;
  if (decision.state.stage != stage) {
    decision.state.stage = stage;
    decision.state.stage_since_ms = cluster_ms;
  }
  switch (stage) {
    case RolloutStage::kJudging:
      break;
    case RolloutStage::kMoving:
    case RolloutStage::kCompleted:
      decision.state.share = 1.0;
      decision.state.endpoint_share = 1.0;
      decision.state.route_shares.clear();
      break;
    case RolloutStage::kRolledBack:
      decision.state.share = 0.0;
      decision.state.endpoint_share = 0.0;
      decision.state.route_shares.clear();
      break;
  }
  return decision;
}

RolloutProgress ProgressOf(const RolloutState& state,
                           const RolloutJudge& judge,
                           int64_t cluster_ms) {
  return RolloutProgress{
      .sent = judge.sent(),
      .sent_to_target = judge.sent_to_target(),
      .sent_by_route = judge.SentByRoute(),
      .elapsed =
          milliseconds(std::max<int64_t>(0, cluster_ms - state.ordered_ms)),
      .duration = milliseconds(state.due_ms - state.ordered_ms)};
}

size_t ChosenCount(const RolloutState& state, const RolloutWorkers& workers) {
  const uint64_t salt = RolloutSalt(state.service, state.position);
  return static_cast<size_t>(
      std::count_if(workers.target_keys.begin(), workers.target_keys.end(),
                    [&](uint64_t key) {
                      return IsChosenEndpoint(salt, key, state.endpoint_share);
                    }));
}

}  // namespace

RolloutController::Entry& RolloutController::EntryOf(const ServiceName& service,
                                                     StorePosition position) {
  Entry& entry = m_entries[service];
  if (!IsSameOrder(entry.position, position)) {
    entry = Entry{};
  }
  entry.position = std::max(entry.position, position);
  return entry;
}

void RolloutController::AddReport(const RolloutReport& report, TimePoint now) {
  const auto found = m_entries.find(report.service);
  if (found != m_entries.end() &&
      !IsSameOrder(found->second.position, report.position) &&
      report.position < found->second.position) {
    return;
  }
  EntryOf(report.service, report.position).judge.Add(report, now);
}

void RolloutController::Forget(const std::vector<RolloutOrder>& orders) {
  std::erase_if(m_entries, [&](const auto& entry) {
    return std::none_of(orders.begin(), orders.end(), [&](const auto& order) {
      return order.service == entry.first &&
             (IsSameOrder(order.position, entry.second.position) ||
              order.position < entry.second.position);
    });
  });
}

std::vector<RolloutDecision> RolloutController::Step(
    const RolloutInput& input) {
  Forget(input.orders);
  std::vector<RolloutDecision> decisions;
  for (const RolloutOrder& order : input.orders) {
    const auto found = m_entries.find(order.service);
    if (found != m_entries.end() && order.position < found->second.position &&
        !IsSameOrder(order.position, found->second.position)) {
      // Nodes report on a later order than the one read here.
      continue;
    }
    Entry& entry = EntryOf(order.service, order.position);
    for (const RolloutState& state : input.states) {
      if (IsOf(state, order) &&
          (!entry.state || state.number > entry.state->number)) {
        entry.state = state;
      }
    }
    if (entry.pending && entry.state &&
        entry.state->number >= entry.pending->state.number) {
      entry.pending.reset();
    }
    entry.judge.Step(input.now);
    // NOTE: The write of another stage may already be in the store, so it is
    // not withdrawn when the evidence changes.
    const bool is_written = entry.pending && entry.state &&
                            entry.pending->state.stage != entry.state->stage;
    std::optional<RolloutDecision> decision =
        is_written ? entry.pending : Decide(entry, order, input);
    if (!decision) {
      entry.pending.reset();
      continue;
    }
    // Repeated unchanged, as the write may have reached the store, unless the
    // stage is another one or the share is much lower by now.
    if (entry.pending &&
        entry.pending->state.number == decision->state.number &&
        entry.pending->state.stage == decision->state.stage &&
        kNotableFall * entry.pending->state.share <= decision->state.share) {
      decision = entry.pending;
    }
    entry.pending = decision;
    decisions.push_back(*decision);
  }
  return decisions;
}

std::optional<RolloutDecision> RolloutController::Decide(
    Entry& entry,
    const RolloutOrder& order,
    const RolloutInput& input) {
  const auto found = input.workers.find(order.service);
  const RolloutWorkers workers =
      found == input.workers.end() ? RolloutWorkers{} : found->second;
  entry.had_old_versions |= workers.old_versions > 0;
  if (entry.first_seen_at == TimePoint{}) {
    entry.first_seen_at = input.now;
  }
  if (!entry.state) {
    return Begin(entry, order, workers, input);
  }
  switch (entry.state->stage) {
    case RolloutStage::kJudging:
      return Judge(entry, workers, input);
    case RolloutStage::kMoving:
      return Move(entry, workers, input);
    case RolloutStage::kCompleted:
    case RolloutStage::kRolledBack:
      break;
  }
  return std::nullopt;
}

std::optional<RolloutDecision> RolloutController::Begin(
    Entry& entry,
    const RolloutOrder& order,
    const RolloutWorkers& workers,
    const RolloutInput& input) {
  RolloutState state{
      .service = order.service,
      .target = order.target,
      .position = order.position,
      .number = 0,
      .stage = RolloutStage::kJudging,
      .share = 0.0,
      .endpoint_share = 1.0,
      .ordered_ms = input.cluster_ms,
      .due_ms = input.cluster_ms + order.duration.count(),
      .stage_since_ms = input.cluster_ms,
  };
  if (entry.pending && entry.pending->state.number == 1) {
    state.ordered_ms = entry.pending->state.ordered_ms;
    state.due_ms = entry.pending->state.due_ms;
  }
  if (workers.target == 0) {
    return MakeDecision(state, RolloutStage::kJudging,
                        "no worker of the target", input.cluster_ms);
  }
  if (!entry.had_old_versions) {
    if (input.now - entry.first_seen_at < kListingTime) {
      return std::nullopt;
    }
    return MakeDecision(state, RolloutStage::kCompleted,
                        "all workers are of the target", input.cluster_ms);
  }
  if (workers.old_versions > 0) {
    state.share = pistachiowalk::PlanShares(
                      m_terms, ProgressOf(state, entry.judge, input.cluster_ms))
                      .share;
    state.endpoint_share = PlanEndpointShare(
        state.share, workers, RolloutSalt(state.service, state.position));
  }
  entry.planned_at = input.now;
  return MakeDecision(state, RolloutStage::kJudging, "ordered",
                      input.cluster_ms);
}

std::optional<RolloutDecision> RolloutController::Judge(
    Entry& entry,
    const RolloutWorkers& workers,
    const RolloutInput& input) {
  const RolloutState& state = *entry.state;
  const auto decide = [&](RolloutStage stage, const RolloutVerdict& verdict) {
    RolloutDecision decision =
        MakeDecision(state, stage, verdict.reason, input.cluster_ms);
    decision.evidence = verdict.evidence;
    return decision;
  };
  const RolloutProgress progress =
      ProgressOf(state, entry.judge, input.cluster_ms);
  const RolloutTimes times = PlanTimes(progress, workers.open_at_old_versions);
  RolloutVerdict verdict =
      entry.judge.Verdict(PatienceAt(progress.elapsed, times), input.now);
  if (verdict.kind == RolloutVerdict::Kind::kBad) {
    return decide(RolloutStage::kRolledBack, verdict);
  }
  if (verdict.kind == RolloutVerdict::Kind::kGood && workers.target > 0 &&
      progress.elapsed >= times.move) {
    entry.open_at_move = workers.open_at_old_versions;
    return decide(RolloutStage::kMoving, verdict);
  }
  if (progress.elapsed >= times.end) {
    verdict.reason = workers.target == 0 ? "no worker of the target"
                                         : "not known to be good in time";
    return decide(RolloutStage::kRolledBack, verdict);
  }
  return PlanShares(entry, workers, input);
}

std::optional<RolloutDecision> RolloutController::PlanShares(
    Entry& entry,
    const RolloutWorkers& workers,
    const RolloutInput& input) {
  const RolloutState& state = *entry.state;
  if (workers.target == 0 || workers.old_versions == 0) {
    return std::nullopt;
  }
  const RolloutShares shares = pistachiowalk::PlanShares(
      m_terms, ProgressOf(state, entry.judge, input.cluster_ms));
  const uint64_t salt = RolloutSalt(state.service, state.position);
  const bool falls = shares.share < kNotableFall * state.share;
  const bool rises = shares.share > kNotableRise * state.share ||
                     (shares.route_shares.size() > state.route_shares.size());
  const bool lost_workers =
      ChosenCount(state, workers) <
      std::min(kMinimumChosenWorkers, workers.target_keys.size());
  const bool is_time = input.now - entry.planned_at >= kPlanningInterval;
  const bool is_first = state.share == 0.0 && shares.share > 0.0 &&
                        entry.judge.sent_to_target() == 0;
  if (!is_first && (!is_time || (!falls && !rises && !lost_workers)) &&
      !entry.pending) {
    return std::nullopt;
  }
  RolloutDecision decision =
      MakeDecision(state, RolloutStage::kJudging,
                   lost_workers ? "other workers" : "shares", input.cluster_ms);
  decision.state.share = shares.share;
  decision.state.route_shares = shares.route_shares;
  decision.state.endpoint_share =
      PlanEndpointShare(shares.share, workers, salt);
  if (decision.state.share == state.share &&
      decision.state.route_shares == state.route_shares &&
      decision.state.endpoint_share == state.endpoint_share) {
    return std::nullopt;
  }
  entry.planned_at = input.now;
  return decision;
}

std::optional<RolloutDecision> RolloutController::Move(
    Entry& entry,
    const RolloutWorkers& workers,
    const RolloutInput& input) {
  const RolloutState& state = *entry.state;
  RolloutVerdict verdict = entry.judge.Verdict(0.0, input.now);
  const auto decide = [&](RolloutStage stage) {
    RolloutDecision decision =
        MakeDecision(state, stage, verdict.reason, input.cluster_ms);
    decision.evidence = verdict.evidence;
    decision.evidence.emplace_back(
        "open_at_old_versions", std::to_string(workers.open_at_old_versions));
    return decision;
  };
  if (verdict.kind == RolloutVerdict::Kind::kBad && workers.old_versions > 0) {
    return decide(RolloutStage::kRolledBack);
  }
  if (workers.target > 0) {
    entry.target_gone_at.reset();
  } else if (!entry.target_gone_at) {
    entry.target_gone_at = input.now;
  }
  if (workers.target == 0) {
    if (workers.old_versions > 0 &&
        input.now - *entry.target_gone_at >= kMaximumTargetGone) {
      verdict.reason = "no worker of the target";
      return decide(RolloutStage::kRolledBack);
    }
    return std::nullopt;
  }
  if (!entry.open_at_move) {
    entry.open_at_move = workers.open_at_old_versions;
  }
  if (!entry.moving_since) {
    entry.moving_since = input.now;
  }
  if (workers.open_at_old_versions > 0) {
    entry.drained_at.reset();
  } else if (!entry.drained_at) {
    entry.drained_at = input.now;
  }
  const RolloutProgress progress =
      ProgressOf(state, entry.judge, input.cluster_ms);
  const RolloutTimes times = PlanTimes(progress, workers.open_at_old_versions);
  const bool is_drained =
      entry.drained_at &&
      input.now - *entry.drained_at >=
          std::max(kDrainedTime, kViewAges * input.view_age);
  const bool may_break =
      progress.elapsed >= times.end &&
      workers.open_at_old_versions <= kBreakablePart * *entry.open_at_move;
  const bool is_too_late =
      progress.elapsed >= progress.duration + kMaximumLateness;
  const bool has_spread = input.now - *entry.moving_since >=
                          std::max(kMinimumMove, kViewAges * input.view_age);
  if (!has_spread || (!is_drained && !may_break && !is_too_late)) {
    return std::nullopt;
  }
  verdict.reason = is_drained  ? "nothing runs at the old versions"
                   : may_break ? "due, and little runs at the old versions"
                               : "late, and something runs at the old versions";
  return decide(RolloutStage::kCompleted);
}

}  // namespace pistachiowalk
