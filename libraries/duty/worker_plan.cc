#include "duty/worker_plan.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

// Target utilization of reclaimable workers: prompts arrive in bursts, and each
// queues behind the earlier ones.
constexpr double kTargetUtilization = 0.45;
// Utilization up to which workers still respond in time; above it, on-demand
// workers are added.
constexpr double kMaximumUtilization = 0.75;
// Above this price ratio reclaimable workers are not worth their risk.
constexpr double kMaximumReclaimablePriceRatio = 0.6;

double PriceAt(const ScalingSpec& scaling, const DataCenterName& data_center) {
  const auto it = scaling.prices.find(data_center);
  return it == scaling.prices.end() ? 1.0 : it->second;
}

// The data centres of the input, cheapest first.
std::vector<DataCenterName> DataCentersByPrice(const ScalingSpec& scaling,
                                               const ScalingInput& input) {
  std::vector<DataCenterName> data_centers;
  for (const auto& [data_center, workers] : input.workers) {
    data_centers.push_back(data_center);
  }
  std::stable_sort(data_centers.begin(), data_centers.end(),
                   [&](const DataCenterName& a, const DataCenterName& b) {
                     return PriceAt(scaling, a) < PriceAt(scaling, b);
                   });
  return data_centers;
}

uint32_t RoundUpWorkers(double workers) {
  // Less than this part of a worker is a rounding error.
  constexpr double kTolerance = 1e-6;
  return static_cast<uint32_t>(std::ceil(std::max(0.0, workers - kTolerance)));
}

// Number of data centres that are left when one is reclaimed.
double SurvivingDataCenters(size_t data_centers) {
  return std::max(1.0, static_cast<double>(data_centers) - 1.0);
}

}  // namespace

double LoadPlannedFor(uint32_t workers, size_t data_centers) {
  return data_centers == 0 ? 0.0
                           : workers * kTargetUtilization *
                                 SurvivingDataCenters(data_centers) /
                                 static_cast<double>(data_centers);
}

double LoadCarriedBy(uint32_t workers, size_t data_centers) {
  return LoadPlannedFor(workers, data_centers) * kMaximumUtilization /
         kTargetUtilization;
}

double LoadBesideLimits(double needed,
                        const std::vector<double>& limits,
                        double requests_per_worker,
                        size_t data_centers) {
  if (requests_per_worker <= 0.0) {
    return needed;
  }
  double lost_workers = 0.0;
  for (const double limit : limits) {
    lost_workers += 1.0 - std::clamp(limit / requests_per_worker, 0.0, 1.0);
  }
  return std::max(needed, LoadPlannedFor(RoundUpWorkers(needed + lost_workers),
                                         data_centers));
}

std::optional<double> LoadDuringRollout(double needed,
                                        uint32_t serving,
                                        uint32_t beside,
                                        size_t data_centers) {
  if (needed <= LoadPlannedFor(serving, data_centers)) {
    return std::nullopt;
  }
  return needed + LoadPlannedFor(beside, data_centers);
}

std::vector<WorkerOrder> PlanWorkers(const ServiceName& service,
                                     const ScalingSpec& scaling,
                                     const ScalingInput& input) {
  std::vector<WorkerOrder> orders;
  const std::vector<DataCenterName> data_centers =
      DataCentersByPrice(scaling, input);
  if (data_centers.empty() || scaling.maximum == 0) {
    return orders;
  }
  const bool uses_reclaimable =
      scaling.reclaimable_price_ratio <= kMaximumReclaimablePriceRatio;
  const uint32_t reclaimable =
      uses_reclaimable
          ? std::clamp(
                RoundUpWorkers(input.needed / kTargetUtilization /
                               SurvivingDataCenters(data_centers.size())),
                std::max(1U, scaling.minimum), scaling.maximum)
          : 0;

  double shortfall = input.needed / (uses_reclaimable ? kMaximumUtilization
                                                      : kTargetUtilization);
  bool is_scarce = false;
  uint32_t largest = 0;
  for (const DataCenterName& data_center : data_centers) {
    const DataCenterWorkers& workers = input.workers.at(data_center);
    const uint32_t expected =
        std::min(workers.expected_reclaimable, reclaimable);
    is_scarce |= workers.is_reclaimable_scarce && expected < reclaimable;
    largest = std::max(largest, expected);
    shortfall -= expected;
  }
  if (is_scarce) {
    shortfall += largest;
  }
  uint32_t data_centers_left = static_cast<uint32_t>(data_centers.size());
  for (const DataCenterName& data_center : data_centers) {
    const uint32_t expected = std::min(
        input.workers.at(data_center).expected_reclaimable, reclaimable);
    const uint32_t headroom = scaling.maximum - expected;
    const uint32_t minimum =
        scaling.minimum - std::min(scaling.minimum, expected);
    // The shortfall is spread over the data centres, as on-demand workers are
    // most useful close to the callers whose workers were reclaimed.
    const uint32_t share = RoundUpWorkers(shortfall / data_centers_left);
    const uint32_t on_demand = std::min(headroom, std::max(minimum, share));
    shortfall -= on_demand;
    --data_centers_left;
    orders.push_back(WorkerOrder{.service = service,
                                 .data_center = data_center,
                                 .is_reclaimable = true,
                                 .count = reclaimable});
    orders.push_back(WorkerOrder{.service = service,
                                 .data_center = data_center,
                                 .is_reclaimable = false,
                                 .count = on_demand});
  }
  return orders;
}

}  // namespace pistachiowalk
