#include "serving/admit_request.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Share of the latency target that the most urgent requests may be expected to
// take, since the estimate is short at times, and how much less each further
// priority may.
constexpr double kUrgentShare = 0.9;
constexpr double kShareStep = 0.25;
constexpr double kLeastShare = 0.3;
// Bounds of the time after which a caller is asked to come back: below the
// first the queue has hardly moved, and beyond the second the answer would be
// late anyway.
constexpr double kLeastReturnMs = 100.0;
constexpr double kMostReturnMs = 1500.0;

}  // namespace

AdmissionAnswer AdmitRequest(const AdmissionQuestion& question) {
  const double share =
      std::max(kLeastShare, kUrgentShare - kShareStep * question.priority);
  const double allowed =
      std::min(share * question.target_ms, question.time_left_ms);
  if (question.expected_ms <= allowed) {
    return AdmissionAnswer{};
  }
  const double wait =
      std::clamp(question.expected_ms - allowed, kLeastReturnMs, kMostReturnMs);
  return AdmissionAnswer{.is_admitted = false,
                         .retry_after = std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double, std::milli>(wait))};
}

}  // namespace pistachiowalk
