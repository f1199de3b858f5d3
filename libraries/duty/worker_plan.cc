#include "duty/worker_plan.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

// Share of their full use at which reclaimable workers are planned: prompts
// come in clumps, and each waits behind those before it.
constexpr double kPlannedUse = 0.45;
// Share of their full use up to which workers still answer in time; lasting
// ones are ordered beyond it.
constexpr double kMostUse = 0.75;
// Above this price ratio reclaimable workers do not pay for their risk.
constexpr double kWorthwhileRatio = 0.6;

double PriceAt(const ScalingSpec& scaling, const DataCenterName& place) {
  const auto it = scaling.prices.find(place);
  return it == scaling.prices.end() ? 1.0 : it->second;
}

// The data centres of the situation, cheapest first.
std::vector<DataCenterName> PlacesByPrice(const ScalingSpec& scaling,
                                          const WorkerSituation& situation) {
  std::vector<DataCenterName> places;
  for (const auto& [place, workers] : situation.workers) {
    places.push_back(place);
  }
  std::stable_sort(places.begin(), places.end(),
                   [&](const DataCenterName& a, const DataCenterName& b) {
                     return PriceAt(scaling, a) < PriceAt(scaling, b);
                   });
  return places;
}

uint32_t WholeWorkers(double workers) {
  return static_cast<uint32_t>(std::ceil(std::max(0.0, workers)));
}

}  // namespace

std::vector<WorkerOrder> PlanWorkers(const ServiceName& service,
                                     const ScalingSpec& scaling,
                                     const WorkerSituation& situation) {
  std::vector<WorkerOrder> orders;
  const std::vector<DataCenterName> places = PlacesByPrice(scaling, situation);
  if (places.empty() || scaling.maximum == 0) {
    return orders;
  }
  const auto count = static_cast<double>(places.size());
  const double survivors = std::max(1.0, count - 1.0);
  const bool uses_reclaimable =
      scaling.reclaimable_price_ratio <= kWorthwhileRatio;
  const uint32_t reclaimable =
      uses_reclaimable
          ? std::clamp(WholeWorkers(situation.needed / kPlannedUse / survivors),
                       std::max(1U, scaling.minimum), scaling.maximum)
          : 0;

  double lacking =
      situation.needed / (uses_reclaimable ? kMostUse : kPlannedUse);
  bool is_scarce = false;
  uint32_t largest = 0;
  for (const DataCenterName& place : places) {
    const WorkersAt& workers = situation.workers.at(place);
    const uint32_t expected =
        std::min(workers.expected_reclaimable, reclaimable);
    is_scarce |= workers.lacks_reclaimable && expected < reclaimable;
    largest = std::max(largest, expected);
    lacking -= expected;
  }
  if (is_scarce) {
    lacking += largest;
  }
  uint32_t places_left = static_cast<uint32_t>(places.size());
  for (const DataCenterName& place : places) {
    const uint32_t expected =
        std::min(situation.workers.at(place).expected_reclaimable, reclaimable);
    const uint32_t room = scaling.maximum - expected;
    const uint32_t least =
        scaling.minimum - std::min(scaling.minimum, expected);
    // What is lacking is spread, since lasting workers are of most use near
    // the callers whose workers went.
    const uint32_t share = WholeWorkers(lacking / places_left);
    const uint32_t lasting = std::min(room, std::max(least, share));
    lacking -= lasting;
    --places_left;
    orders.push_back(WorkerOrder{.service = service,
                                 .data_center = place,
                                 .is_reclaimable = true,
                                 .count = reclaimable});
    orders.push_back(WorkerOrder{.service = service,
                                 .data_center = place,
                                 .is_reclaimable = false,
                                 .count = lasting});
  }
  return orders;
}

}  // namespace pistachiowalk
