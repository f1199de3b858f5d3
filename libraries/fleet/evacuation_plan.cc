#include "fleet/evacuation_plan.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace pistachiowalk {
namespace {

// Nothing is planned for this time before a VM is reclaimed.
constexpr FractionalSeconds kSafetyMargin{2.0};

const LeavingEndpoint* FindLeaving(const std::vector<LeavingEndpoint>& leaving,
                                   const EndpointId& endpoint) {
  for (const LeavingEndpoint& candidate : leaving) {
    if (candidate.endpoint == endpoint) {
      return &candidate;
    }
  }
  return nullptr;
}

bool FinishesInTime(const InFlightRequest& request,
                    const LeavingEndpoint& endpoint) {
  // NOTE: An action is never moved, since starting it elsewhere would run it a
  // second time.
  return request.is_action ||
         request.remaining + kSafetyMargin <= endpoint.time_left;
}

FractionalSeconds ExportTime(const InFlightRequest& request,
                             const LeavingEndpoint& endpoint) {
  return FractionalSeconds(static_cast<double>(request.cache_bytes) /
                           endpoint.export_bytes_per_second);
}

// Whether the request meets its deadline only when its cache is exported.
bool NeedsExport(const InFlightRequest& request) {
  return request.remaining <= request.slack &&
         request.remaining + request.recompute_time > request.slack;
}

// Tokens saved per exported byte, with the weight from the bundle. The export
// bandwidth is the scarce resource.
double ExportValue(const InFlightRequest& request) {
  return request.recompute_weight *
         static_cast<double>(request.recompute_tokens) /
         static_cast<double>(std::max<uint64_t>(request.cache_bytes, 1));
}

// Order in which caches are exported: first those that a deadline depends on,
// then by priority and value. The id makes the order the same on every node.
bool ExportsBefore(const InFlightRequest& a, const InFlightRequest& b) {
  return std::make_tuple(!NeedsExport(a), a.priority, -ExportValue(a), a.id) <
         std::make_tuple(!NeedsExport(b), b.priority, -ExportValue(b), b.id);
}

// Order in which requests get the slots of the surviving endpoints.
bool MovesBefore(const InFlightRequest& a, const InFlightRequest& b) {
  return std::make_tuple(a.priority, a.slack - a.remaining, a.id) <
         std::make_tuple(b.priority, b.slack - b.remaining, b.id);
}

// Chooses the requests whose caches fit into the bandwidth and time of the
// leaving endpoints.
std::set<RequestId> ChooseExports(const std::vector<LeavingEndpoint>& leaving,
                                  std::vector<InFlightRequest> requests) {
  std::sort(requests.begin(), requests.end(), ExportsBefore);
  std::map<EndpointId, FractionalSeconds> used;
  std::set<RequestId> chosen;
  for (const InFlightRequest& request : requests) {
    const LeavingEndpoint* endpoint = FindLeaving(leaving, request.endpoint);
    if (endpoint->export_bytes_per_second <= 0.0 || request.cache_bytes == 0) {
      continue;
    }
    const FractionalSeconds time = ExportTime(request, *endpoint);
    // A cache that takes longer to export than to compute is not exported.
    if (time >= request.recompute_time) {
      continue;
    }
    FractionalSeconds& busy = used[request.endpoint];
    if (busy + time + kSafetyMargin <= endpoint->time_left) {
      busy += time;
      chosen.insert(request.id);
    }
  }
  return chosen;
}

// Takes a slot of the endpoint with the most free slots. Returns nullptr when
// all are full.
SurvivingEndpoint* TakeSlot(std::vector<SurvivingEndpoint>& survivors) {
  const auto best = std::max_element(
      survivors.begin(), survivors.end(),
      [](const SurvivingEndpoint& a, const SurvivingEndpoint& b) {
        return std::make_tuple(a.free_slots, b.endpoint) <
               std::make_tuple(b.free_slots, a.endpoint);
      });
  if (best == survivors.end() || best->free_slots == 0) {
    return nullptr;
  }
  --best->free_slots;
  return &*best;
}

EvacuationStep MoveStep(const InFlightRequest& request,
                        bool is_export,
                        std::vector<SurvivingEndpoint>& survivors) {
  EvacuationStep step{.request = request.id,
                      .action = EvacuationAction::kRecompute};
  if (request.exported_to) {
    step.action = EvacuationAction::kExport;
    step.target = *request.exported_to;
    for (SurvivingEndpoint& survivor : survivors) {
      if (survivor.endpoint == step.target) {
        survivor.free_slots -= survivor.free_slots > 0 ? 1 : 0;
        return step;
      }
    }
    // That endpoint is leaving as well.
    step.action = EvacuationAction::kRecompute;
  }
  const SurvivingEndpoint* survivor = TakeSlot(survivors);
  if (survivor == nullptr) {
    return EvacuationStep{.request = request.id,
                          .action = EvacuationAction::kWaitForSlot,
                          .target = EndpointId()};
  }
  step.target = survivor->endpoint;
  step.action = is_export && !request.exported_to
                    ? EvacuationAction::kExport
                    : EvacuationAction::kRecompute;
  return step;
}

// While requests wait for slots, new requests of a lower priority than all of
// them are refused, since they would only lengthen the wait.
std::optional<Priority> RefusedPriorityWhileWaiting(
    const std::vector<InFlightRequest>& waiting) {
  if (waiting.empty()) {
    return std::nullopt;
  }
  Priority least = Priority::kCritical;
  for (const InFlightRequest& request : waiting) {
    least = std::max(least, request.priority);
  }
  const auto next = static_cast<uint8_t>(least) + 1;
  return static_cast<Priority>(
      std::min<int>(next, static_cast<int>(kPriorityCount) - 1));
}

}  // namespace

EvacuationPlan PlanEvacuation(const std::vector<LeavingEndpoint>& leaving,
                              std::vector<InFlightRequest> requests,
                              std::vector<SurvivingEndpoint> survivors) {
  EvacuationPlan plan;
  std::vector<InFlightRequest> moving;
  for (const InFlightRequest& request : requests) {
    const LeavingEndpoint* endpoint = FindLeaving(leaving, request.endpoint);
    if (endpoint == nullptr) {
      continue;
    }
    if (FinishesInTime(request, *endpoint)) {
      plan.steps.push_back(
          EvacuationStep{.request = request.id,
                         .action = EvacuationAction::kFinishInPlace,
                         .target = EndpointId()});
    } else {
      moving.push_back(request);
    }
  }
  std::erase_if(survivors, [&](const SurvivingEndpoint& survivor) {
    return FindLeaving(leaving, survivor.endpoint) != nullptr;
  });
  const std::set<RequestId> exports = ChooseExports(leaving, moving);
  std::sort(moving.begin(), moving.end(), MovesBefore);
  std::vector<InFlightRequest> waiting;
  for (const InFlightRequest& request : moving) {
    plan.steps.push_back(
        MoveStep(request, exports.contains(request.id), survivors));
    if (plan.steps.back().action == EvacuationAction::kWaitForSlot) {
      waiting.push_back(request);
    }
  }
  plan.refuse_from = RefusedPriorityWhileWaiting(waiting);
  return plan;
}

std::optional<Priority> FirstRefusedPriority(
    const std::array<double, kPriorityCount>& demand_slots,
    double capacity_slots) {
  double sum = 0.0;
  for (size_t i = 0; i < kPriorityCount; ++i) {
    sum += demand_slots[i];
    if (sum > capacity_slots) {
      return static_cast<Priority>(i);
    }
  }
  return std::nullopt;
}

}  // namespace pistachiowalk
