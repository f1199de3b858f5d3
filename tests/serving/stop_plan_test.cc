#include "serving/stop_plan.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using std::chrono::milliseconds;

// Guards against a node that still waits for callers when it is killed.
Test(stop_plan, all_phases_lie_within_any_grace_period) {
  const TimePoint now{milliseconds(1000)};
  for (const int grace : {1, 10, 500, 1000, 2000, 3000, 8000, 30000}) {
    const StopPlan plan = MakeStopPlan(now, milliseconds(grace));
    cr_assert(now <= plan.drains_until && plan.drains_until <= plan.ends_at);
    cr_assert(plan.ends_at <= plan.exits_at);
    // A worker's response is awaited at least until the last sixth.
    cr_assert(plan.ends_at >= now + milliseconds(grace) * 5 / 6);
    cr_assert(plan.exits_at < now + milliseconds(grace));
  }
}

Test(stop_plan, a_long_grace_period_is_left_to_the_open_requests) {
  const TimePoint now{};
  const StopPlan plan = MakeStopPlan(now, milliseconds(30000));
  cr_assert(plan.drains_until < now + milliseconds(3000));
  cr_assert(plan.ends_at > now + milliseconds(29000));
}
