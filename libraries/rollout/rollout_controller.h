#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "rollout/rollout_judge.h"
#include "rollout/rollout_order.h"
#include "rollout/rollout_plan.h"
#include "rollout/rollout_report.h"
#include "rollout/rollout_state.h"
#include "rollout/rollout_terms.h"
#include "rollout/rollout_workers.h"

namespace pistachiowalk {

struct RolloutInput {
  TimePoint now{};
  // Cluster time in milliseconds since 1970.
  int64_t cluster_ms = 0;
  std::vector<RolloutOrder> orders;
  // The states in force.
  std::vector<RolloutState> states;
  std::map<ServiceName, RolloutWorkers> workers;
  // Maximum age of the counts of requests at the workers.
  Duration view_age{};
};

// A change that the holder has to write, and why.
struct RolloutDecision {
  RolloutState state;
  std::string reason;
  // Key and value pairs of the evidence, for the log.
  std::vector<std::pair<std::string, std::string>> evidence;
};

// The decisions of the holder of the duty lease: begins roll-outs, judges their
// targets by the nodes' reports, and ends them. Does no I/O. A state holds only
// once it is in the store, so a decision is repeated until a later input has it
// among `states`.
class RolloutController {
 public:
  explicit RolloutController(RolloutTerms terms) : m_terms(terms) {}

  void SetTerms(const RolloutTerms& terms) { m_terms = terms; }
  // Adds a node's report; an older one of the same incarnation has no effect.
  // Every node may collect them, so that a new holder knows them.
  void AddReport(const RolloutReport& report, TimePoint now);
  std::vector<RolloutDecision> Step(const RolloutInput& input);

  // Drops what it knows of roll-outs whose orders are not in `input`, if Step()
  // is not called: for nodes that are not the holder.
  void Forget(const std::vector<RolloutOrder>& orders);

 private:
  struct Entry {
    StorePosition position;
    RolloutJudge judge;
    // The highest state that was ever in force.
    std::optional<RolloutState> state;
    // Written by the caller, but not known to be in force.
    std::optional<RolloutDecision> pending;
    // Whether any old worker was listed since the order was first seen.
    bool had_old_versions = false;
    TimePoint first_seen_at{};
    TimePoint planned_at{};
    // Since when there is no worker of the target, while requests move.
    std::optional<TimePoint> target_gone_at;
    // Requests that ran at the old versions when the move began.
    std::optional<uint32_t> open_at_move;
    std::optional<TimePoint> drained_at;
    // When the state that moves the service was first in the store.
    std::optional<TimePoint> moving_since;
  };

  Entry& EntryOf(const ServiceName& service, StorePosition position);
  std::optional<RolloutDecision> Decide(Entry& entry,
                                        const RolloutOrder& order,
                                        const RolloutInput& input);
  std::optional<RolloutDecision> Begin(Entry& entry,
                                       const RolloutOrder& order,
                                       const RolloutWorkers& workers,
                                       const RolloutInput& input);
  std::optional<RolloutDecision> Judge(Entry& entry,
                                       const RolloutWorkers& workers,
                                       const RolloutInput& input);
  std::optional<RolloutDecision> Move(Entry& entry,
                                      const RolloutWorkers& workers,
                                      const RolloutInput& input);
  std::optional<RolloutDecision> PlanShares(Entry& entry,
                                            const RolloutWorkers& workers,
                                            const RolloutInput& input);

  RolloutTerms m_terms;
  std::map<ServiceName, Entry> m_entries;
};

}  // namespace pistachiowalk
