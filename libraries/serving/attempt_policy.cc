#include "serving/attempt_policy.h"

namespace pistachiowalk {
namespace {

// Maximum attempts per request, including rejected ones. Each retry also
// consumes the service's retry budget.
constexpr uint32_t kMaximumSends = 3;

bool MayExecuteAgain(const RetryContext& now) {
  switch (now.kind) {
    case RouteKind::kIdempotent:
      return true;
    case RouteKind::kNonIdempotent:
      return false;
    case RouteKind::kStream:
      return now.is_resumable;
  }
  return false;
}

bool MaySendAgain(const RetryContext& now) {
  return now.has_budget && now.has_time && now.sends < kMaximumSends;
}

}  // namespace

NextStep DecideNextStep(AttemptOutcome outcome, const RetryContext& now) {
  const bool may_send = MaySendAgain(now);
  const bool may_execute_again =
      may_send && MayExecuteAgain(now) && now.executions < now.maximum_attempts;
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return NextStep::kForwardFailure;
    case AttemptOutcome::kRejected:
    case AttemptOutcome::kNotSent:
      if (now.has_started_response) {
        return may_send ? NextStep::kRetry : NextStep::kAbortResponse;
      }
      if (may_send) {
        return NextStep::kRetry;
      }
      return now.executions == 0 ? NextStep::kReportNotExecuted
                                 : NextStep::kReportUnknownOutcome;
    case AttemptOutcome::kFailed:
      if (may_execute_again) {
        return NextStep::kRetry;
      }
      return now.has_started_response ? NextStep::kAbortResponse
                                      : NextStep::kForwardFailure;
    case AttemptOutcome::kUnknown:
      if (may_execute_again) {
        return NextStep::kRetry;
      }
      return now.has_started_response ? NextStep::kAbortResponse
                                      : NextStep::kReportUnknownOutcome;
  }
  return NextStep::kReportUnknownOutcome;
}

}  // namespace pistachiowalk
