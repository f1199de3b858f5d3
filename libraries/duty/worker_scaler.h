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

// Orders a service's workers by plan while this node holds the duty. An order
// is repeated when its answer was lost, or when the workers do not come.
class WorkerScaler {
 public:
  WorkerScaler(const Clock& clock,
               CloudPort& cloud,
               DutyLease& lease,
               NodeId node);

  // `expected_reclaimable` of the situation is filled in here.
  void Step(const ServiceName& service,
            const ScalingSpec& scaling,
            ScalingInput input);

 private:
  // Service, data centre, whether reclaimable.
  using PoolKey = std::tuple<ServiceName, DataCenterName, bool>;
  struct PoolState {
    std::optional<uint32_t> ordered;
    bool is_order_pending = false;
    TimePoint ordered_at{};
    TimePoint scale_down_since{};
    TimePoint paused_until{};
    // Workers of this kind are scarce until then, as far as is known.
    TimePoint scarce_until{};
    // What the last order was decided by, for the log.
    double needed = 0.0;
    uint32_t present = 0;
  };

  void FillInExpected(const ServiceName& service,
                      const ScalingSpec& scaling,
                      ScalingInput& input);
  bool IsDue(const WorkerOrder& order,
             const ScalingSpec& scaling,
             uint32_t present,
             PoolState& pool);
  void SendOrder(const WorkerOrder& order, PoolState& pool);

  const Clock& m_clock;
  CloudPort& m_cloud;
  DutyLease& m_lease;
  NodeId m_node;
  TimePoint m_started_at;
  FencingNumber m_fence = 0;
  // Workers that stood when this node took the duty; the load is not known
  // then, and they were enough for it.
  std::map<ServiceName, uint32_t> m_initial_workers;
  TimePoint m_held_since{};
  std::map<PoolKey, PoolState> m_pools;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
