#include "duty/worker_plan.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

// Workers are planned at this share of their full use: prompts come in clumps,
// and a queue of prompts delays every first event behind it.
constexpr double kPlannedUse = 0.6;
// Above this price ratio reclaimable workers do not pay for their risk.
constexpr double kWorthwhileRatio = 0.6;

double PriceAt(const ScalingSpec& scaling, const DataCenterName& place) {
  const auto it = scaling.prices.find(place);
  return it == scaling.prices.end() ? 1.0 : it->second;
}

// Data centres that have workers or a price, cheapest first.
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
  const double wanted = situation.needed / kPlannedUse;
  // Enough that the load is carried with one data centre's workers gone.
  const double survivors = std::max(1.0, count - 1.0);
  const bool uses_reclaimable =
      scaling.reclaimable_price_ratio <= kWorthwhileRatio;
  const auto each = static_cast<uint32_t>(std::ceil(wanted / survivors));

  double missing = wanted;
  std::map<DataCenterName, uint32_t> lasting;
  std::map<DataCenterName, uint32_t> reclaimable;
  for (const DataCenterName& place : places) {
    const WorkersAt& now = situation.workers.at(place);
    // NOTE: Both kinds together keep within the limits, so a lasting worker
    // stands everywhere for the minimum.
    lasting[place] = std::max(1U, scaling.minimum);
    const uint32_t room =
        scaling.maximum - std::min(scaling.maximum, lasting[place]);
    reclaimable[place] = uses_reclaimable ? std::min(each, room) : 0;
    const uint32_t counted = std::min(now.reclaimable, reclaimable[place]);
    missing -= lasting[place] + counted;
  }
  // What is missing now, where it is cheapest and still fits.
  for (const DataCenterName& place : places) {
    if (missing <= 0.0) {
      break;
    }
    const WorkersAt& now = situation.workers.at(place);
    const uint32_t used =
        lasting[place] + (now.lacks_reclaimable
                              ? std::min(now.reclaimable, reclaimable[place])
                              : reclaimable[place]);
    const uint32_t room = scaling.maximum - std::min(scaling.maximum, used);
    const auto share = static_cast<uint32_t>(
        std::ceil(std::min<double>(missing, std::ceil(wanted / count))));
    const uint32_t added = std::min(room, share);
    lasting[place] += added;
    missing -= added;
  }
  for (const DataCenterName& place : places) {
    const uint32_t room =
        scaling.maximum - std::min(scaling.maximum, lasting[place]);
    orders.push_back(WorkerOrder{.service = service,
                                 .data_center = place,
                                 .is_reclaimable = true,
                                 .count = std::min(reclaimable[place], room)});
    orders.push_back(WorkerOrder{.service = service,
                                 .data_center = place,
                                 .is_reclaimable = false,
                                 .count = lasting[place]});
  }
  return orders;
}

}  // namespace pistachiowalk
