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

// A request in flight on an endpoint under a reclaim notice.
struct InFlightRequest {
  RequestId id;
  EndpointId endpoint;
  Priority priority = Priority::kStandard;
  // Expected time to its end where it runs.
  FractionalSeconds remaining{0};
  // Time to its deadline.
  FractionalSeconds slack{0};
  uint64_t cache_bytes = 0;
  // What a survivor would compute again without the cache.
  uint64_t recompute_tokens = 0;
  FractionalSeconds recompute_time{0};
  double recompute_weight = 1.0;
  // Calls that may run at most once are never started again elsewhere.
  bool is_action = false;
  // A survivor that has its cache already; a node that died may have begun.
  std::optional<EndpointId> exported_to;

  friend auto operator<=>(const InFlightRequest&,
                          const InFlightRequest&) = default;
};

// An endpoint under notice, as one node sees it.
struct LeavingEndpoint {
  EndpointId endpoint;
  FractionalSeconds time_left{0};
  // This node's part of the endpoint's export bandwidth.
  double export_bytes_per_second = 0.0;

  friend auto operator<=>(const LeavingEndpoint&,
                          const LeavingEndpoint&) = default;
};

// An endpoint that stays.
struct SurvivingEndpoint {
  EndpointId endpoint;
  uint32_t free_slots = 0;

  friend auto operator<=>(const SurvivingEndpoint&,
                          const SurvivingEndpoint&) = default;
};

enum class EvacuationAction {
  // Ends before the VM goes.
  kFinishInPlace,
  // Exports its cache to the survivor and goes on there.
  kExport,
  // Goes on at the survivor, which computes the prompt again.
  kRecompute,
  // Goes on as soon as any survivor has a free slot.
  kWaitForSlot,
};

// What to do with one request. Steps are in the order in which to take them.
// A step may be repeated by another node: an export overwrites itself, and a
// request goes on under one attempt number at a time.
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
  // New requests of this priority and those after it are refused until
  // capacity is back.
  std::optional<Priority> refuse_from;

  friend auto operator<=>(const EvacuationPlan&,
                          const EvacuationPlan&) = default;
};

// What one node does about the notices that it knows. The same scenario gives
// the same plan on every node.
EvacuationPlan PlanEvacuation(const std::vector<LeavingEndpoint>& leaving,
                              std::vector<InFlightRequest> requests,
                              std::vector<SurvivingEndpoint> survivors);

// The first priority whose new requests `capacity` slots cannot carry, by the
// demand of each priority.
std::optional<Priority> FirstRefusedPriority(
    const std::array<double, kPriorityCount>& demand_slots,
    double capacity_slots);

}  // namespace pistachiowalk
