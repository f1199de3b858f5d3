#pragma once

#include <map>
#include <memory>
#include <optional>
#include <tuple>

#include "base/clock.h"
#include "duty/cloud_port.h"
#include "duty/worker_plan.h"

namespace pistachiowalk {

class DutyLease;

// Scales the workers of services according to PlanWorkers() while this node
// holds the duty lease. An order is repeated if its response was lost, if the
// workers do not register, or at once if some of them are lost.
//
// This covers reclaimable workers that are reclaimed in one data centre after
// the other, a deployment whose first workers are still registering, and a new
// holder that does not know the load.
class WorkerScaler {
 public:
  WorkerScaler(const Clock& clock,
               CloudPort& cloud,
               DutyLease& lease,
               NodeId node);

  // Fills in `expected_reclaimable` and `is_reclaimable_scarce` of the input.
  void Step(const ServiceName& service,
            const ScalingSpec& scaling,
            ScalingInput input);

 private:
  // Service, data centre, whether reclaimable.
  using PoolKey = std::tuple<ServiceName, DataCenterName, bool>;
  // The highest number of workers seen while they register, and since when.
  struct InitialWorkers {
    uint32_t count = 0;
    // Of these, the ones that are not reclaimable.
    uint32_t on_demand = 0;
    TimePoint increased_at{};
  };
  struct PoolState {
    std::optional<uint32_t> ordered;
    bool is_order_pending = false;
    TimePoint ordered_at{};
    // Workers of an accepted order are assumed to be starting until then.
    TimePoint starting_until{};
    // Number of workers at the last step, and whether some were lost since the
    // last order.
    uint32_t last_present = 0;
    bool has_lost_workers = false;
    TimePoint scale_down_since{};
    TimePoint paused_until{};
    // Workers of this kind are assumed to be scarce until then.
    TimePoint scarce_until{};
    // Basis of the last order, for the log.
    double needed = 0.0;
    uint32_t present = 0;
  };

  void RecordLosses(const ServiceName& service, const ScalingInput& input);
  void FillInExpected(const ServiceName& service, ScalingInput& input);
  bool IsDue(const WorkerOrder& order,
             const ScalingSpec& scaling,
             uint32_t present,
             PoolState& pool);
  void SendOrder(const WorkerOrder& order,
                 const ScalingSpec& scaling,
                 PoolState& pool);

  const Clock& m_clock;
  CloudPort& m_cloud;
  DutyLease& m_lease;
  NodeId m_node;
  TimePoint m_started_at;
  FencingNumber m_fence = 0;
  // Workers that existed when this node acquired the lease; the load is unknown
  // at that time, and they are assumed to have been sufficient.
  std::map<ServiceName, InitialWorkers> m_initial_workers;
  TimePoint m_held_since{};
  std::map<PoolKey, PoolState> m_pools;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
