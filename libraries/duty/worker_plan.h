#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "duty/cloud_port.h"
#include "serving/serving_config.h"

namespace pistachiowalk {

// A service's workers in one data centre.
struct DataCenterWorkers {
  uint32_t on_demand = 0;
  uint32_t reclaimable = 0;
  // Reclaimable workers that are serving or have been ordered and are starting.
  uint32_t expected_reclaimable = 0;
  // Recent orders for reclaimable workers were answered "none available".
  bool is_reclaimable_scarce = false;

  friend auto operator<=>(const DataCenterWorkers&,
                          const DataCenterWorkers&) = default;
};

// Load and workers of a service, as input of PlanWorkers().
struct ScalingInput {
  // Number of workers that the load would fully utilize.
  double needed = 0.0;
  std::map<DataCenterName, DataCenterWorkers> workers;

  friend auto operator<=>(const ScalingInput&, const ScalingInput&) = default;
};

// Returns the load for which PlanWorkers() orders `workers` reclaimable workers
// in all data centres together.
double LoadPlannedFor(uint32_t workers, size_t data_centers);

// Returns the highest load that `workers`, spread over the data centres, still
// answer in time without those of any one data centre.
double LoadCarriedBy(uint32_t workers, size_t data_centers);

// Returns the load to plan for, at least `needed`, so that the workers that
// PlanWorkers() orders carry `needed` besides those that name a limit. `limits`
// are the limited workers' requests per second, and `requests_per_worker` those
// that a worker without limit could take; 0 if that is unknown. No reserve is
// planned for limited workers, as their need for relief is short.
double LoadBesideLimits(double needed,
                        const std::vector<double>& limits,
                        double requests_per_worker,
                        size_t data_centers);

// Returns the load to plan for while a service moves from one version to
// another; nullopt if nothing is to be ordered. `serving` workers are those of
// the versions that carry the load, `beside` the others.
//
// An order names the workers of all versions together, so those beside are kept
// until the operator ends them. They are no reserve, as they may be condemned
// or stopped at any time.
std::optional<double> LoadDuringRollout(double needed,
                                        uint32_t serving,
                                        uint32_t beside,
                                        size_t data_centers);

// Computes the desired number of workers of both kinds in each data centre.
//
// The platform may reclaim all reclaimable workers of a data centre at once,
// and none may be available there for some time after. As they are cheap, there
// are enough of them to carry the load without any one data centre; the
// expensive on-demand workers only cover the shortfall of the remaining ones.
// While they are scarce in some data centre, the next reclaim could not be
// compensated in time, so the largest remaining data centre is not counted on.
std::vector<WorkerOrder> PlanWorkers(const ServiceName& service,
                                     const ScalingSpec& scaling,
                                     const ScalingInput& input);

}  // namespace pistachiowalk
