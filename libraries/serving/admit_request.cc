#include "serving/admit_request.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Share of the latency target that the estimate may reach for the most urgent
// priority, less than the whole since the estimate is sometimes too low, and by
// how much the share falls with each further priority.
constexpr double kMostUrgentShare = 0.9;
constexpr double kSharePriorityStep = 0.25;
constexpr double kMinimumShare = 0.3;
// Bounds of the Retry-After of a refusal: before the minimum the queue has
// hardly shortened, and after the maximum the response would be late anyway.
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
