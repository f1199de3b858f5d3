#include "serving/attempt_policy.h"

#include <vector>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

struct Case {
  const char* name;
  AttemptOutcome outcome;
  RetryContext context;
  NextStep expected;
};

RetryContext FirstAttempt(RouteKind kind) {
  return RetryContext{.kind = kind,
                      .maximum_attempts = 2,
                      .executions = 1,
                      .sends = 1,
                      .has_budget = true,
                      .has_time = true};
}

RetryContext Resumable() {
  RetryContext context = FirstAttempt(RouteKind::kStream);
  context.is_resumable = true;
  return context;
}

RetryContext NotExecuted(RouteKind kind) {
  RetryContext context = FirstAttempt(kind);
  context.executions = 0;
  return context;
}

RetryContext WithStartedResponse(RetryContext context) {
  context.has_started_response = true;
  return context;
}

RetryContext WithoutBudget(RetryContext context) {
  context.has_budget = false;
  return context;
}

const std::vector<Case>& Cases() {
  static const std::vector<Case> cases = {
      {"an action that may have run is never sent again",
       AttemptOutcome::kUnknown, FirstAttempt(RouteKind::kNonIdempotent),
       NextStep::kReportUnknownOutcome},
      {"an action's own failure is passed on", AttemptOutcome::kFailed,
       FirstAttempt(RouteKind::kNonIdempotent), NextStep::kForwardFailure},
      {"an action that was rejected has not run", AttemptOutcome::kRejected,
       NotExecuted(RouteKind::kNonIdempotent), NextStep::kRetry},
      {"an action that was not sent has not run", AttemptOutcome::kNotSent,
       NotExecuted(RouteKind::kNonIdempotent), NextStep::kRetry},
      {"without budget a rejected request is told not to have run",
       AttemptOutcome::kRejected,
       WithoutBudget(NotExecuted(RouteKind::kNonIdempotent)),
       NextStep::kReportNotExecuted},
      {"a rejection after a run with unknown outcome promises nothing",
       AttemptOutcome::kRejected,
       WithoutBudget(FirstAttempt(RouteKind::kIdempotent)),
       NextStep::kReportUnknownOutcome},
      {"an idempotent call is repeated", AttemptOutcome::kUnknown,
       FirstAttempt(RouteKind::kIdempotent), NextStep::kRetry},
      {"an idempotent call that failed is repeated", AttemptOutcome::kFailed,
       FirstAttempt(RouteKind::kIdempotent), NextStep::kRetry},
      {"a stream that may not be resumed is not sent again",
       AttemptOutcome::kUnknown, FirstAttempt(RouteKind::kStream),
       NextStep::kReportUnknownOutcome},
      {"a begun stream that may not be resumed is broken off",
       AttemptOutcome::kUnknown,
       WithStartedResponse(FirstAttempt(RouteKind::kStream)),
       NextStep::kAbortResponse},
      {"a begun stream is resumed elsewhere", AttemptOutcome::kUnknown,
       WithStartedResponse(Resumable()), NextStep::kRetry},
      {"a begun stream without budget is broken off", AttemptOutcome::kUnknown,
       WithoutBudget(WithStartedResponse(Resumable())),
       NextStep::kAbortResponse},
      {"a failure within a begun stream cannot be passed on",
       AttemptOutcome::kFailed, WithoutBudget(WithStartedResponse(Resumable())),
       NextStep::kAbortResponse},
  };
  return cases;
}

}  // namespace

Test(attempt_policy, table_of_outcomes) {
  for (const Case& test_case : Cases()) {
    cr_assert(DecideNextStep(test_case.outcome, test_case.context) ==
                  test_case.expected,
              "%s", test_case.name);
  }
}

// Over all states: "not executed" is reported only if nothing was executed, and
// no request is executed more often than its route allows.
Test(attempt_policy, no_situation_breaks_a_promise) {
  for (const auto outcome :
       {AttemptOutcome::kRejected, AttemptOutcome::kNotSent,
        AttemptOutcome::kFailed, AttemptOutcome::kUnknown}) {
    for (const auto kind : {RouteKind::kIdempotent, RouteKind::kNonIdempotent,
                            RouteKind::kStream}) {
      for (uint32_t bits = 0; bits < 16; ++bits) {
        for (uint32_t executions = 0; executions <= 3; ++executions) {
          RetryContext now{.kind = kind,
                           .is_resumable = (bits & 1U) != 0,
                           .maximum_attempts = 2,
                           .executions = executions,
                           .sends = 1,
                           .has_started_response = (bits & 2U) != 0,
                           .has_budget = (bits & 4U) != 0,
                           .has_time = (bits & 8U) != 0};
          const bool may_have_run = outcome == AttemptOutcome::kFailed ||
                                    outcome == AttemptOutcome::kUnknown;
          if (may_have_run && executions == 0) {
            continue;
          }
          const NextStep step = DecideNextStep(outcome, now);
          cr_assert(step != NextStep::kReportNotExecuted || executions == 0);
          cr_assert(!(step == NextStep::kRetry && may_have_run &&
                      executions >= now.maximum_attempts));
          cr_assert(!(step == NextStep::kRetry && may_have_run &&
                      kind == RouteKind::kNonIdempotent));
          cr_assert(!(now.has_started_response &&
                      (step == NextStep::kReportNotExecuted ||
                       step == NextStep::kForwardFailure)));
        }
      }
    }
  }
}
