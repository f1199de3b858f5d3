#include "duty/worker_orderer.h"

#include <fmt/format.h>

#include <algorithm>

#include "duty/duty_lease.h"
#include "duty/duty_log_events.h"

namespace pistachiowalk {
namespace {

// After "none available" a kind is not asked for again for this long.
constexpr Duration kNonePause = std::chrono::seconds(3);
// An order without effect is repeated after the workers' start time and this.
constexpr Duration kEffectSlack = std::chrono::milliseconds(2500);
// Fewer workers are ordered only when fewer were enough for this long. Lasting
// ones are dear, so they go sooner.
constexpr Duration kLowerReclaimableDelay = std::chrono::seconds(12);
constexpr Duration kLowerLastingDelay = std::chrono::milliseconds(2500);
// Workers enter themselves within about two heartbeats of a start.
constexpr Duration kSettleTime = std::chrono::milliseconds(2500);
// A new holder does not know the load at first; the workers that stand are
// taken to be needed for this long.
constexpr Duration kLearnTime = std::chrono::seconds(15);
// Use at which those are taken to stand.
constexpr double kFirstSeenUse = 0.4;
constexpr Duration kUnknownPause = std::chrono::seconds(1);

}  // namespace

WorkerOrderer::WorkerOrderer(const Clock& clock,
                             CloudPort& cloud,
                             DutyLease& lease,
                             NodeId node)
    : m_clock(clock),
      m_cloud(cloud),
      m_lease(lease),
      m_node(std::move(node)),
      m_started_at(clock.Now()) {}

void WorkerOrderer::Step(const ServiceName& service,
                         const ScalingSpec& scaling,
                         WorkerSituation situation) {
  if (!m_lease.MayAct()) {
    return;
  }
  const TimePoint now = m_clock.Now();
  if (now - m_started_at < kSettleTime) {
    return;
  }
  if (m_fence != m_lease.fence()) {
    // NOTE: What an earlier holder ordered is not known here.
    m_fence = m_lease.fence();
    m_standing.clear();
    m_first_seen.clear();
    m_held_since = now;
  }
  uint32_t present_workers = 0;
  for (const auto& [place, workers] : situation.workers) {
    present_workers += workers.lasting + workers.reclaimable;
  }
  uint32_t& first_seen = m_first_seen[service];
  if (now - m_held_since < scaling.start_time) {
    // Workers enter themselves over some seconds; none of those that this node
    // orders can serve yet.
    first_seen = std::max(first_seen, present_workers);
  }
  if (now - m_held_since < kLearnTime) {
    situation.needed = std::max(situation.needed, kFirstSeenUse * first_seen);
  }
  FillInExpected(service, scaling, situation);
  const std::vector<WorkerOrder> planned =
      PlanWorkers(service, scaling, situation);
  // What is only expected must not cost workers that serve, so fewer are
  // ordered only by what is present.
  for (auto& [place, workers] : situation.workers) {
    workers.expected_reclaimable = workers.reclaimable;
  }
  const std::vector<WorkerOrder> by_present =
      PlanWorkers(service, scaling, situation);
  for (size_t i = 0; i < planned.size(); ++i) {
    WorkerOrder order = planned[i];
    Standing& standing =
        m_standing[Subject(service, order.data_center, order.is_reclaimable)];
    const WorkersAt& at = situation.workers.at(order.data_center);
    const uint32_t present = order.is_reclaimable ? at.reclaimable : at.lasting;
    const uint32_t standing_count = standing.ordered.value_or(present);
    if (order.count < standing_count) {
      order.count =
          std::min(standing_count, std::max(order.count, by_present[i].count));
    }
    if (IsDue(order, scaling, present, standing)) {
      standing.needed = situation.needed;
      standing.present = present;
      Order(order, standing);
    }
  }
}

void WorkerOrderer::FillInExpected(const ServiceName& service,
                                   const ScalingSpec& scaling,
                                   WorkerSituation& situation) {
  const TimePoint now = m_clock.Now();
  for (auto& [place, workers] : situation.workers) {
    const Standing& standing = m_standing[Subject(service, place, true)];
    workers.expected_reclaimable = workers.reclaimable;
    workers.lacks_reclaimable = now < standing.scarce_until;
    const bool is_coming =
        standing.ordered && now >= standing.none_until &&
        now - standing.ordered_at < scaling.start_time + kEffectSlack;
    if (is_coming) {
      workers.expected_reclaimable =
          std::max(workers.reclaimable, *standing.ordered);
    }
  }
}

bool WorkerOrderer::IsDue(const WorkerOrder& order,
                          const ScalingSpec& scaling,
                          uint32_t present,
                          Standing& standing) {
  const TimePoint now = m_clock.Now();
  if (standing.is_open || now < standing.none_until ||
      (order.is_reclaimable && order.count == 0 && !standing.ordered)) {
    return false;
  }
  const uint32_t standing_count = standing.ordered.value_or(present);
  if (order.count < standing_count) {
    if (standing.lower_since == TimePoint{}) {
      standing.lower_since = now;
    }
    return now - standing.lower_since >=
           (order.is_reclaimable ? kLowerReclaimableDelay : kLowerLastingDelay);
  }
  standing.lower_since = TimePoint{};
  if (order.count > standing_count) {
    return true;
  }
  // The same number: repeated only if the workers have not come.
  return present < order.count &&
         now - standing.ordered_at > scaling.start_time + kEffectSlack;
}

void WorkerOrderer::Order(const WorkerOrder& order, Standing& standing) {
  standing.is_open = true;
  standing.ordered_at = m_clock.Now();
  standing.lower_since = TimePoint{};
  m_cloud.OrderWorkers(
      DutyGrant{.node = m_node, .fence = m_lease.fence()}, order,
      [this, order, fence = m_lease.fence(),
       alive = std::weak_ptr(m_alive)](CloudStatus status) {
        if (alive.expired() || fence != m_fence) {
          return;
        }
        Standing& answered = m_standing[Subject(
            order.service, order.data_center, order.is_reclaimable)];
        answered.is_open = false;
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
            return;
          case CloudStatus::kSuperseded:
            m_lease.NoteSuperseded();
            return;
          case CloudStatus::kNoneAvailable:
            answered.none_until = m_clock.Now() + kNonePause;
            answered.scarce_until = answered.none_until + kNonePause;
            return;
          case CloudStatus::kRefused:
          case CloudStatus::kUnknown:
            answered.none_until = m_clock.Now() + kUnknownPause;
            return;
        }
      });
}

}  // namespace pistachiowalk
