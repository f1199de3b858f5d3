#include "serving/admit_request.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Share of the latency target that the work ahead may take for the most urgent
// priority, and how much less it is for each further one. The rest of the
// target is for the request's own prompt.
constexpr double kMostUrgentShare = 0.7;
constexpr double kSharePriorityStep = 0.25;
constexpr double kMinimumShare = 0.2;
// How much longer or shorter that share is at most by the customer's fair
// share.
constexpr double kShareLeanStep = 0.1;
// Factor on that share for a request that could be in time at an idle endpoint
// and would be late now.
constexpr double kLateFactor = 0.5;
// Share of the remaining time that the estimate may take: it is sometimes too
// low, and the rest of the response takes time too.
constexpr double kUsableTimeShare = 0.9;
// Bounds of the Retry-After of a refusal: before the minimum the queue has
// hardly shortened, and after the maximum the response would be late anyway.
// Each caller's is longer by up to the spread, so that they do not return
// together.
constexpr double kMinimumRetryAfterMs = 100.0;
constexpr double kMaximumRetryAfterMs = 1500.0;
constexpr double kRetryAfterSpread = 0.5;

}  // namespace

AdmissionResult AdmitRequest(const AdmissionInput& input) {
  const double share =
      std::max(kMinimumShare,
               kMostUrgentShare - kSharePriorityStep * input.priority) +
      kShareLeanStep * input.share_lean;
  const double own_ms = input.expected_ms - input.queued_ms;
  const bool is_late_by_queue =
      input.expected_ms > input.target_ms && own_ms <= input.target_ms;
  const double allowed_queue_ms =
      share * input.target_ms * (is_late_by_queue ? kLateFactor : 1.0);
  const double usable_ms = kUsableTimeShare * input.time_left_ms;
  if (input.queued_ms <= allowed_queue_ms && input.expected_ms <= usable_ms) {
    return AdmissionResult{};
  }
  const double excess_ms = std::max(input.queued_ms - allowed_queue_ms,
                                    input.expected_ms - usable_ms);
  const double retry_after_ms =
      std::clamp(excess_ms, kMinimumRetryAfterMs, kMaximumRetryAfterMs) *
      (1.0 + kRetryAfterSpread * input.draw);
  return AdmissionResult{
      .is_admitted = false,
      .retry_after = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(retry_after_ms))};
}

}  // namespace pistachiowalk
