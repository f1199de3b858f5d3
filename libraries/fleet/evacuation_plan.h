#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "bundle/priority.h"

namespace pistachiowalk {

using FractionalSeconds = std::chrono::duration<double>;

// A request in flight on an endpoint that has a reclaim notice.
struct InFlightRequest {
  RequestId id;
  EndpointId endpoint;
  Priority priority = Priority::kStandard;
  // Expected time until it finishes on its current endpoint.
  FractionalSeconds remaining{0};
  // Time until its deadline.
  FractionalSeconds slack{0};
  uint64_t cache_bytes = 0;
  // Tokens that a surviving endpoint has to compute again without the cache.
  uint64_t recompute_tokens = 0;
  FractionalSeconds recompute_time{0};
  double recompute_weight = 1.0;
  // Whether it is a call that may run at most once. It is never started again
  // on another endpoint.
  bool is_action = false;
  // The surviving endpoint that already has its cache, for example because a
  // node that failed had begun the evacuation.
  std::optional<EndpointId> exported_to;

  friend auto operator<=>(const InFlightRequest&,
                          const InFlightRequest&) = default;
};

// An endpoint with a reclaim notice, as seen by one node.
struct LeavingEndpoint {
  EndpointId endpoint;
  FractionalSeconds time_left{0};
  // This node's share of the endpoint's export bandwidth.
  double export_bytes_per_second = 0.0;

  friend auto operator<=>(const LeavingEndpoint&,
                          const LeavingEndpoint&) = default;
};

// An endpoint without a reclaim notice.
struct SurvivingEndpoint {
  EndpointId endpoint;
  uint32_t free_slots = 0;

  friend auto operator<=>(const SurvivingEndpoint&,
                          const SurvivingEndpoint&) = default;
};

enum class EvacuationAction {
  // Stays on its endpoint and finishes before the VM is reclaimed.
  kFinishInPlace,
  // Exports its cache to the surviving endpoint and continues there.
  kExport,
  // Continues at the surviving endpoint, which computes the prompt again.
  kRecompute,
  // Continues as soon as any surviving endpoint has a free slot.
  kWaitForSlot,
};

// What to do with one request. Steps are listed in the order of execution. It
// is safe for another node to repeat a step: an export overwrites the earlier
// one, and a request continues under one attempt number at a time.
struct EvacuationStep {
  RequestId request;
  EvacuationAction action = EvacuationAction::kFinishInPlace;
  // Empty for kFinishInPlace and kWaitForSlot.
  EndpointId target;

  friend auto operator<=>(const EvacuationStep&,
                          const EvacuationStep&) = default;
};

inline constexpr size_t kPriorityCount = 4;

struct EvacuationPlan {
  std::vector<EvacuationStep> steps;
  // New requests of this and all lower priorities are refused until capacity is
  // available again.
  std::optional<Priority> refuse_from;

  friend auto operator<=>(const EvacuationPlan&,
                          const EvacuationPlan&) = default;
};

// Plans what one node does about the reclaim notices that it knows. The same
// input gives the same plan on every node.
EvacuationPlan PlanEvacuation(const std::vector<LeavingEndpoint>& leaving,
                              std::vector<InFlightRequest> requests,
                              std::vector<SurvivingEndpoint> survivors);

// Returns the first priority whose demand no longer fits into `capacity_slots`
// on top of that of the higher priorities.
std::optional<Priority> FirstRefusedPriority(
    const std::array<double, kPriorityCount>& demand_slots,
    double capacity_slots);

}  // namespace pistachiowalk
