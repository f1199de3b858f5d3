#pragma once

#include <chrono>
#include <compare>

#include "base/clock.h"

namespace pistachiowalk {

// Retry-After of what a stopping node refuses; the load balancer sends its
// callers to other nodes.
constexpr Duration kShutdownRetryAfter = std::chrono::milliseconds(50);

// When a node that was asked to stop does what.
struct StopPlan {
  // Until then the load balancer may still send callers, and requests are
  // accepted if they can be completed in time.
  TimePoint drains_until{};
  // Requests that are still open are ended then.
  TimePoint ends_at{};
  // The process exits then, whether or not the last responses were delivered.
  TimePoint exits_at{};

  friend auto operator<=>(const StopPlan&, const StopPlan&) = default;
};

// `grace_period` is the time from the request to stop, at `requested_at`, to
// the process being killed. A short one shortens all phases.
StopPlan MakeStopPlan(TimePoint requested_at, Duration grace_period);

}  // namespace pistachiowalk
