#include "serving/attempt_policy.h"

namespace pistachiowalk {
namespace {

// Sends of one request at most, rejected ones included: each also takes from
// the repeat budget.
constexpr uint32_t kMaximumSends = 3;

bool MayRepeat(const AttemptSituation& now) {
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

bool MaySendAgain(const AttemptSituation& now) {
  return now.has_budget && now.has_time && now.sends < kMaximumSends;
}

}  // namespace

NextStep DecideNextStep(AttemptOutcome outcome, const AttemptSituation& now) {
  const bool may_send = MaySendAgain(now);
  const bool may_run =
      may_send && MayRepeat(now) && now.runs < now.maximum_attempts;
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return NextStep::kPassFailure;
    case AttemptOutcome::kRejected:
    case AttemptOutcome::kNotSent:
      if (now.has_begun_answer) {
        return may_send ? NextStep::kTryAnother : NextStep::kBreakOff;
      }
      if (may_send) {
        return NextStep::kTryAnother;
      }
      return now.runs == 0 ? NextStep::kTellNotRun : NextStep::kTellUnknown;
    case AttemptOutcome::kFailed:
      if (may_run) {
        return NextStep::kTryAnother;
      }
      return now.has_begun_answer ? NextStep::kBreakOff
                                  : NextStep::kPassFailure;
    case AttemptOutcome::kUnknown:
      if (may_run) {
        return NextStep::kTryAnother;
      }
      return now.has_begun_answer ? NextStep::kBreakOff
                                  : NextStep::kTellUnknown;
  }
  return NextStep::kTellUnknown;
}

}  // namespace pistachiowalk
