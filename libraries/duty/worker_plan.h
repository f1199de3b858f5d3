#pragma once

#include <map>
#include <vector>

#include "base/ids.h"
#include "duty/cloud_port.h"
#include "serving/serving_config.h"

namespace pistachiowalk {

// A service's workers in one data centre.
struct DataCenterWorkers {
  uint32_t on_demand = 0;
  uint32_t reclaimable = 0;
  // Reclaimable workers that serve, or were ordered and are on their way.
  uint32_t expected_reclaimable = 0;
  // Lately none were to be had there.
  bool is_reclaimable_scarce = false;

  friend auto operator<=>(const DataCenterWorkers&,
                          const DataCenterWorkers&) = default;
};

struct ScalingInput {
  // Workers that the load would keep fully busy.
  double needed = 0.0;
  std::map<DataCenterName, DataCenterWorkers> workers;

  friend auto operator<=>(const ScalingInput&, const ScalingInput&) = default;
};

// The number of workers of both kinds to have in each data centre.
//
// Answers a load whose workers may be taken away a data centre at a time, with
// none to be had for some time after. Reclaimable workers are cheap, so there
// are enough of them that the load is carried without one data centre's; the
// dear lasting ones are ordered only for what those that are left lack. While
// some place lacks them, the next reclaim could not be made up for in time, so
// the largest place that is left is not counted on.
std::vector<WorkerOrder> PlanWorkers(const ServiceName& service,
                                     const ScalingSpec& scaling,
                                     const ScalingInput& input);

}  // namespace pistachiowalk
