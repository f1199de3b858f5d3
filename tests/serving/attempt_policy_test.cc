#include "serving/attempt_policy.h"

#include <vector>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

struct Case {
  const char* name;
  AttemptOutcome outcome;
  AttemptSituation situation;
  NextStep expected;
};

AttemptSituation Fresh(RouteKind kind) {
  return AttemptSituation{.kind = kind,
                          .maximum_attempts = 2,
                          .runs = 1,
                          .sends = 1,
                          .has_budget = true,
                          .has_time = true};
}

AttemptSituation Resumable() {
  AttemptSituation situation = Fresh(RouteKind::kStream);
  situation.is_resumable = true;
  return situation;
}

AttemptSituation NotRun(RouteKind kind) {
  AttemptSituation situation = Fresh(kind);
  situation.runs = 0;
  return situation;
}

AttemptSituation Begun(AttemptSituation situation) {
  situation.has_begun_answer = true;
  return situation;
}

AttemptSituation WithoutBudget(AttemptSituation situation) {
  situation.has_budget = false;
  return situation;
}

const std::vector<Case>& Cases() {
  static const std::vector<Case> cases = {
      {"an action that may have run is never sent again",
       AttemptOutcome::kUnknown, Fresh(RouteKind::kNonIdempotent),
       NextStep::kTellUnknown},
      {"an action's own failure is passed on", AttemptOutcome::kFailed,
       Fresh(RouteKind::kNonIdempotent), NextStep::kPassFailure},
      {"an action that was rejected has not run", AttemptOutcome::kRejected,
       NotRun(RouteKind::kNonIdempotent), NextStep::kTryAnother},
      {"an action that was not sent has not run", AttemptOutcome::kNotSent,
       NotRun(RouteKind::kNonIdempotent), NextStep::kTryAnother},
      {"without budget a rejected request is told not to have run",
       AttemptOutcome::kRejected,
       WithoutBudget(NotRun(RouteKind::kNonIdempotent)), NextStep::kTellNotRun},
      {"a rejection after a run with unknown outcome promises nothing",
       AttemptOutcome::kRejected, WithoutBudget(Fresh(RouteKind::kIdempotent)),
       NextStep::kTellUnknown},
      {"an idempotent call is repeated", AttemptOutcome::kUnknown,
       Fresh(RouteKind::kIdempotent), NextStep::kTryAnother},
      {"an idempotent call that failed is repeated", AttemptOutcome::kFailed,
       Fresh(RouteKind::kIdempotent), NextStep::kTryAnother},
      {"a stream that may not be resumed is not sent again",
       AttemptOutcome::kUnknown, Fresh(RouteKind::kStream),
       NextStep::kTellUnknown},
      {"a begun stream that may not be resumed is broken off",
       AttemptOutcome::kUnknown, Begun(Fresh(RouteKind::kStream)),
       NextStep::kBreakOff},
      {"a begun stream is resumed elsewhere", AttemptOutcome::kUnknown,
       Begun(Resumable()), NextStep::kTryAnother},
      {"a begun stream without budget is broken off", AttemptOutcome::kUnknown,
       WithoutBudget(Begun(Resumable())), NextStep::kBreakOff},
      {"a failure within a begun stream cannot be passed on",
       AttemptOutcome::kFailed, WithoutBudget(Begun(Resumable())),
       NextStep::kBreakOff},
  };
  return cases;
}

}  // namespace

Test(attempt_policy, table_of_outcomes) {
  for (const Case& item : Cases()) {
    cr_assert(DecideNextStep(item.outcome, item.situation) == item.expected,
              "%s", item.name);
  }
}

// Over all situations: what promises "not run" is told only if nothing ran,
// and nothing runs beyond the route's attempts.
Test(attempt_policy, no_situation_breaks_a_promise) {
  for (const auto outcome :
       {AttemptOutcome::kRejected, AttemptOutcome::kNotSent,
        AttemptOutcome::kFailed, AttemptOutcome::kUnknown}) {
    for (const auto kind : {RouteKind::kIdempotent, RouteKind::kNonIdempotent,
                            RouteKind::kStream}) {
      for (uint32_t bits = 0; bits < 16; ++bits) {
        for (uint32_t runs = 0; runs <= 3; ++runs) {
          AttemptSituation now{.kind = kind,
                               .is_resumable = (bits & 1U) != 0,
                               .maximum_attempts = 2,
                               .runs = runs,
                               .sends = 1,
                               .has_begun_answer = (bits & 2U) != 0,
                               .has_budget = (bits & 4U) != 0,
                               .has_time = (bits & 8U) != 0};
          const bool may_have_run = outcome == AttemptOutcome::kFailed ||
                                    outcome == AttemptOutcome::kUnknown;
          if (may_have_run && runs == 0) {
            continue;
          }
          const NextStep step = DecideNextStep(outcome, now);
          cr_assert(step != NextStep::kTellNotRun || runs == 0);
          cr_assert(!(step == NextStep::kTryAnother && may_have_run &&
                      runs >= now.maximum_attempts));
          cr_assert(!(step == NextStep::kTryAnother && may_have_run &&
                      kind == RouteKind::kNonIdempotent));
          cr_assert(
              !(now.has_begun_answer && (step == NextStep::kTellNotRun ||
                                         step == NextStep::kPassFailure)));
        }
      }
    }
  }
}
