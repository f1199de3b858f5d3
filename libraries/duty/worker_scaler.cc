#include "duty/worker_scaler.h"

#include <fmt/format.h>

#include <algorithm>

#include "duty/duty_lease.h"
#include "duty/duty_log_events.h"

namespace pistachiowalk {
namespace {

// Pause before the next order for a pool after "none available".
constexpr Duration kUnavailablePause = std::chrono::seconds(3);
// An order is repeated if the workers have not registered within their start
// time plus this.
constexpr Duration kOrderEffectSlack = std::chrono::milliseconds(2500);
// A pool is scaled down only after fewer workers were sufficient for this long.
// On-demand workers are expensive, so they are removed sooner.
constexpr Duration kReclaimableScaleDownDelay = std::chrono::seconds(12);
constexpr Duration kOnDemandScaleDownDelay = std::chrono::milliseconds(2500);
// The workers of a starting deployment register with their first heartbeats.
// All have registered once no further one did for the pause, or after the
// maximum.
constexpr Duration kRegistrationPause = std::chrono::milliseconds(1500);
constexpr Duration kMaximumRegistrationTime = std::chrono::milliseconds(6500);
// Minimum time between an order and the next one for workers that were lost.
constexpr Duration kReplacementPause = std::chrono::milliseconds(300);
// A new holder does not know the load yet; for this long it assumes that the
// existing workers are needed: reclaimable ones with their reserve, on-demand
// ones as fully used as they may be.
constexpr Duration kLoadLearningTime = std::chrono::seconds(15);
constexpr Duration kUnknownPause = std::chrono::seconds(1);

}  // namespace

WorkerScaler::WorkerScaler(const Clock& clock,
                           CloudPort& cloud,
                           DutyLease& lease,
                           NodeId node)
    : m_clock(clock),
      m_cloud(cloud),
      m_lease(lease),
      m_node(std::move(node)),
      m_started_at(clock.Now()) {}

void WorkerScaler::Step(const ServiceName& service,
                        const ScalingSpec& scaling,
                        ScalingInput input) {
  if (!m_lease.MayAct()) {
    return;
  }
  const TimePoint now = m_clock.Now();
  if (m_fence != m_lease.fence()) {
    // NOTE: The orders of earlier holders are unknown.
    m_fence = m_lease.fence();
    m_pools.clear();
    m_initial_workers.clear();
    m_held_since = now;
  }
  uint32_t present_workers = 0;
  uint32_t present_on_demand = 0;
  for (const auto& [data_center, workers] : input.workers) {
    present_workers += workers.on_demand + workers.reclaimable;
    present_on_demand += workers.on_demand;
  }
  InitialWorkers& initial = m_initial_workers[service];
  // Existing workers register over several seconds. Workers ordered by this
  // node cannot be among them within their start time.
  if (now - m_held_since < scaling.start_time &&
      present_workers > initial.count) {
    initial = InitialWorkers{.count = present_workers,
                             .on_demand = present_on_demand,
                             .increased_at = now};
  }
  const bool is_registering =
      now - m_started_at < kMaximumRegistrationTime &&
      (initial.count == 0 || now - initial.increased_at < kRegistrationPause);
  if (is_registering) {
    return;
  }
  RecordLosses(service, input);
  if (now - m_held_since < kLoadLearningTime) {
    const size_t data_centers = input.workers.size();
    input.needed = std::max(
        input.needed,
        LoadPlannedFor(initial.count - initial.on_demand, data_centers) +
            LoadCarriedBy(initial.on_demand, data_centers));
  }
  FillInExpected(service, input);
  const std::vector<WorkerOrder> planned = PlanWorkers(service, scaling, input);
  // Workers that are only expected must not replace serving ones, so scaling
  // down considers only present workers.
  for (auto& [data_center, workers] : input.workers) {
    workers.expected_reclaimable = workers.reclaimable;
  }
  const std::vector<WorkerOrder> planned_by_present =
      PlanWorkers(service, scaling, input);
  for (size_t i = 0; i < planned.size(); ++i) {
    WorkerOrder order = planned[i];
    PoolState& pool =
        m_pools[PoolKey(service, order.data_center, order.is_reclaimable)];
    const DataCenterWorkers& at = input.workers.at(order.data_center);
    const uint32_t present =
        order.is_reclaimable ? at.reclaimable : at.on_demand;
    const uint32_t current_count = pool.ordered.value_or(present);
    if (order.count < current_count) {
      order.count = std::min(
          current_count, std::max(order.count, planned_by_present[i].count));
    }
    if (IsDue(order, scaling, present, pool)) {
      pool.needed = input.needed;
      pool.present = present;
      SendOrder(order, scaling, pool);
    }
  }
}

void WorkerScaler::RecordLosses(const ServiceName& service,
                                const ScalingInput& input) {
  for (const auto& [data_center, workers] : input.workers) {
    for (const bool is_reclaimable : {true, false}) {
      PoolState& pool = m_pools[PoolKey(service, data_center, is_reclaimable)];
      const uint32_t present =
          is_reclaimable ? workers.reclaimable : workers.on_demand;
      if (present < pool.last_present) {
        pool.has_lost_workers = true;
        pool.starting_until = TimePoint{};
      }
      pool.last_present = present;
    }
  }
}

void WorkerScaler::FillInExpected(const ServiceName& service,
                                  ScalingInput& input) {
  const TimePoint now = m_clock.Now();
  for (auto& [data_center, workers] : input.workers) {
    const PoolState& pool = m_pools[PoolKey(service, data_center, true)];
    workers.expected_reclaimable = workers.reclaimable;
    workers.is_reclaimable_scarce = now < pool.scarce_until;
    if (pool.ordered && now < pool.starting_until) {
      workers.expected_reclaimable =
          std::max(workers.reclaimable, *pool.ordered);
    }
  }
}

bool WorkerScaler::IsDue(const WorkerOrder& order,
                         const ScalingSpec& scaling,
                         uint32_t present,
                         PoolState& pool) {
  const TimePoint now = m_clock.Now();
  if (pool.is_order_pending || now < pool.paused_until ||
      (order.is_reclaimable && order.count == 0 && !pool.ordered)) {
    return false;
  }
  const uint32_t current_count = pool.ordered.value_or(present);
  if (order.count < current_count) {
    if (pool.scale_down_since == TimePoint{}) {
      pool.scale_down_since = now;
    }
    return now - pool.scale_down_since >= (order.is_reclaimable
                                               ? kReclaimableScaleDownDelay
                                               : kOnDemandScaleDownDelay);
  }
  pool.scale_down_since = TimePoint{};
  if (order.count > current_count) {
    return true;
  }
  // An unchanged count is ordered again only if workers were lost or did not
  // register.
  return present < order.count &&
         now - pool.ordered_at > (pool.has_lost_workers
                                      ? kReplacementPause
                                      : scaling.start_time + kOrderEffectSlack);
}

void WorkerScaler::SendOrder(const WorkerOrder& order,
                             const ScalingSpec& scaling,
                             PoolState& pool) {
  pool.is_order_pending = true;
  pool.ordered_at = m_clock.Now();
  pool.scale_down_since = TimePoint{};
  pool.has_lost_workers = false;
  m_cloud.OrderWorkers(
      DutyGrant{.node = m_node, .fence = m_lease.fence()}, order,
      [this, order, start_time = scaling.start_time, fence = m_lease.fence(),
       alive = std::weak_ptr(m_alive)](CloudStatus status) {
        if (alive.expired() || fence != m_fence) {
          return;
        }
        PoolState& answered = m_pools[PoolKey(order.service, order.data_center,
                                              order.is_reclaimable)];
        answered.is_order_pending = false;
        LogEvent(status == CloudStatus::kDone ? duty_log::kWorkersOrdered
                                              : duty_log::kOrderFailed,
                 {{"service", order.service.value()},
                  {"data_center", order.data_center.value()},
                  {"reclaimable", order.is_reclaimable ? "yes" : "no"},
                  {"count", std::to_string(order.count)},
                  {"present", std::to_string(answered.present)},
                  {"needed", fmt::format("{:.1f}", answered.needed)},
                  {"status", std::to_string(static_cast<int>(status))}});
        switch (status) {
          case CloudStatus::kDone:
            answered.ordered = order.count;
            answered.starting_until =
                answered.ordered_at + start_time + kOrderEffectSlack;
            return;
          case CloudStatus::kSuperseded:
            m_lease.NoteSuperseded(fence);
            return;
          case CloudStatus::kNoneAvailable:
            answered.paused_until = m_clock.Now() + kUnavailablePause;
            answered.scarce_until = answered.paused_until + kUnavailablePause;
            return;
          case CloudStatus::kRefused:
          case CloudStatus::kUnknown:
            answered.paused_until = m_clock.Now() + kUnknownPause;
            return;
        }
      });
}

}  // namespace pistachiowalk
