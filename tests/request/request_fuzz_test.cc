#include "utilities/measure_request/request_world.h"

#include "support/criterion.h"

using namespace pistachiowalk::measure;

namespace {

constexpr uint64_t kHistories = 300;
// More histories for a fault that shows only when a request is delayed until
// after its retry has ended, which is rare.
constexpr uint64_t kRareHistories = 1500;

WorldFindings RunHistories(PlantedFault planted, uint64_t histories) {
  WorldFindings sum;
  for (uint64_t seed = 1; seed <= histories; ++seed) {
    RequestWorld world(WorldOptions{.seed = seed, .planted = planted});
    const WorldFindings one = world.Run();
    sum.double_runs += one.double_runs;
    sum.false_not_run += one.false_not_run;
    sum.stream_errors += one.stream_errors;
    sum.accepted_lost += one.accepted_lost;
    sum.actions_run += one.actions_run;
  }
  return sum;
}

struct InjectedFaultCase {
  const char* name;
  PlantedFault planted;
  uint64_t WorldFindings::*detected_by;
  uint64_t histories = kHistories;
};

}  // namespace

Test(request_fuzz, finds_no_violation_without_an_injected_fault) {
  const WorldFindings sum = RunHistories(PlantedFault::kNone, kHistories);
  cr_assert(sum.double_runs == 0);
  cr_assert(sum.false_not_run == 0);
  cr_assert(sum.stream_errors == 0);
  cr_assert(sum.accepted_lost == 0);
  cr_assert(sum.actions_run > kHistories);
}

Test(request_fuzz, detects_each_injected_fault) {
  const InjectedFaultCase cases[] = {
      {"grant without claim", PlantedFault::kGrantWithoutClaim,
       &WorldFindings::double_runs},
      {"unknown told as not-run", PlantedFault::kTellUnknownAsNotRun,
       &WorldFindings::false_not_run},
      {"repeated token", PlantedFault::kRepeatToken,
       &WorldFindings::stream_errors},
      {"swapped tokens", PlantedFault::kSwapTokens,
       &WorldFindings::stream_errors},
      {"stale token", PlantedFault::kMixInStaleToken,
       &WorldFindings::stream_errors},
      {"retry after dispatch", PlantedFault::kRetryAfterDispatch,
       &WorldFindings::double_runs},
      {"store overwrites", PlantedFault::kStoreOverwrites,
       &WorldFindings::double_runs},
      {"later attempts do not close earlier ones",
       PlantedFault::kForgetAttempts, &WorldFindings::false_not_run,
       kRareHistories},
      {"lost answer", PlantedFault::kLoseAnswer, &WorldFindings::accepted_lost},
  };
  for (const InjectedFaultCase& item : cases) {
    const WorldFindings sum = RunHistories(item.planted, item.histories);
    cr_assert(sum.*(item.detected_by) > 0, "%s", item.name);
  }
}
