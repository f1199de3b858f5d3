#include "serving/admit_request.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Share of the latency target that the most urgent requests may be expected to
// take, since the estimate is short at times, and how much less each further
// priority may.
constexpr double kMostUrgentShare = 0.9;
constexpr double kSharePriorityStep = 0.25;
constexpr double kMinimumShare = 0.3;
// Bounds of the time after which a caller is asked to come back: below the
// first the queue has hardly moved, and beyond the second the answer would be
// late anyway.
constexpr double kMinimumRetryAfterMs = 100.0;
constexpr double kMaximumRetryAfterMs = 1500.0;

}  // namespace

AdmissionResult AdmitRequest(const AdmissionInput& input) {
  const double share = std::max(
      kMinimumShare, kMostUrgentShare - kSharePriorityStep * input.priority);
  const double allowed = std::min(share * input.target_ms, input.time_left_ms);
  if (input.expected_ms <= allowed) {
    return AdmissionResult{};
  }
  const double retry_after_ms = std::clamp(
      input.expected_ms - allowed, kMinimumRetryAfterMs, kMaximumRetryAfterMs);
  return AdmissionResult{
      .is_admitted = false,
      .retry_after = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(retry_after_ms))};
}

}  // namespace pistachiowalk
