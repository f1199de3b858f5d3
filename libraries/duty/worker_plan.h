#pragma once

#include <map>
#include <vector>

#include "base/ids.h"
#include "duty/cloud_port.h"
#include "serving/serving_config.h"

namespace pistachiowalk {

// A service's workers in one data centre.
struct WorkersAt {
  uint32_t lasting = 0;
  uint32_t reclaimable = 0;
  // No reclaimable workers were to be had there lately.
  bool lacks_reclaimable = false;

  friend auto operator<=>(const WorkersAt&, const WorkersAt&) = default;
};

struct WorkerSituation {
  // Workers that the load needs, in full use of each.
  double needed = 0.0;
  std::map<DataCenterName, WorkersAt> workers;

  friend auto operator<=>(const WorkerSituation&,
                          const WorkerSituation&) = default;
};

// The number of workers of both kinds to have in each data centre.
//
// Answers a load whose workers may be taken away a data centre at a time, with
// none to be had for some time after: reclaimable workers are cheap, so there
// are enough of them in the other data centres to carry the load without the
// largest one; lasting ones make up for what is missing until they are back.
std::vector<WorkerOrder> PlanWorkers(const ServiceName& service,
                                     const ScalingSpec& scaling,
                                     const WorkerSituation& situation);

}  // namespace pistachiowalk
