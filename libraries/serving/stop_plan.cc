#include "serving/stop_plan.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// After SIGTERM the load balancer needs two failed readiness checks, a second
// apart, before it stops sending callers.
constexpr Duration kDrainTime = milliseconds(2600);
// Part of the grace period reserved for the last responses and the exit, and at
// most a sixth of a short one.
constexpr Duration kEndMargin = milliseconds(700);
constexpr int kEndMarginDivisor = 6;
// Part of that which is reserved for the exit alone, and at most a twelfth of a
// short grace period.
constexpr Duration kExitMargin = milliseconds(400);
constexpr int kExitMarginDivisor = 12;

}  // namespace

StopPlan MakeStopPlan(TimePoint requested_at, Duration grace_period) {
  const Duration end_margin =
      std::min(kEndMargin, grace_period / kEndMarginDivisor);
  const Duration exit_margin =
      std::min(kExitMargin, grace_period / kExitMarginDivisor);
  const TimePoint ends_at = requested_at + grace_period - end_margin;
  return StopPlan{.drains_until = std::min(requested_at + kDrainTime, ends_at),
                  .ends_at = ends_at,
                  .exits_at = requested_at + grace_period - exit_margin};
}

}  // namespace pistachiowalk
