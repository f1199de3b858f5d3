#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/rollout_state.h"
#include "rollout/rollout_terms.h"
#include "rollout/rollout_workers.h"

namespace pistachiowalk {

// Workers of the target that get requests, if there are so many.
constexpr size_t kMinimumChosenWorkers = 2;

// What a roll-out is planned by.
struct RolloutProgress {
  // Requests sent so far, repeats included, over all nodes.
  uint64_t sent = 0;
  uint64_t sent_to_target = 0;
  std::map<std::string, uint64_t> sent_by_route;
  std::chrono::milliseconds elapsed{0};
  std::chrono::milliseconds duration{0};
};

struct RolloutShares {
  double share = 0.0;
  std::vector<RouteShare> route_shares;

  friend auto operator<=>(const RolloutShares&, const RolloutShares&) = default;
};

// The part of the requests that a target under judgement may get, so that a bad
// one stays within the bound with a margin for chance, repeats and nodes that
// are heard late. Rare routes have a larger share than frequent ones.
RolloutShares PlanShares(const RolloutTerms& terms,
                         const RolloutProgress& progress);

// The part of the target's workers that gets the requests: as loaded as the old
// ones, but at least two, so that a fault of one of them is told from a bad
// version.
double PlanEndpointShare(double share,
                         const RolloutWorkers& workers,
                         uint64_t salt);

// Times since the order.
struct RolloutTimes {
  // From here on a good target gets all requests.
  std::chrono::milliseconds move{0};
  // A target that is not known to be good by then is rolled back.
  std::chrono::milliseconds latest_move{0};
  // The last decision has to be written by then.
  std::chrono::milliseconds end{0};

  friend auto operator<=>(const RolloutTimes&, const RolloutTimes&) = default;
};

// `open_at_old_versions` requests have to end between the move and the end; how
// long they last follows from the rate at which they come.
RolloutTimes PlanTimes(const RolloutProgress& progress,
                       uint32_t open_at_old_versions);

// 1 until the target should get all requests, 0 once it is too late for that.
double PatienceAt(std::chrono::milliseconds elapsed, const RolloutTimes& times);

}  // namespace pistachiowalk
