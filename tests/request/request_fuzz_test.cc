#include "utilities/measure_request/request_simulation.h"

#include "support/criterion.h"

using namespace pistachiowalk::measure;

namespace {

constexpr uint64_t kHistories = 300;
// More histories for a fault that shows only when a request is delayed until
// after its retry has ended, which is rare.
constexpr uint64_t kRareHistories = 1500;

SimulationFindings RunHistories(InjectedFault fault, uint64_t histories) {
  SimulationFindings sum;
  for (uint64_t seed = 1; seed <= histories; ++seed) {
    RequestSimulation simulation(
        SimulationOptions{.seed = seed, .fault = fault});
    const SimulationFindings one = simulation.Run();
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
  InjectedFault fault;
  uint64_t SimulationFindings::*detected_by;
  uint64_t histories = kHistories;
};

}  // namespace

Test(request_fuzz, finds_no_violation_without_an_injected_fault) {
  const SimulationFindings sum = RunHistories(InjectedFault::kNone, kHistories);
  cr_assert(sum.double_runs == 0);
  cr_assert(sum.false_not_run == 0);
  cr_assert(sum.stream_errors == 0);
  cr_assert(sum.accepted_lost == 0);
  cr_assert(sum.actions_run > kHistories);
}

Test(request_fuzz, detects_each_injected_fault) {
  const InjectedFaultCase cases[] = {
      {"grant without claim", InjectedFault::kGrantWithoutClaim,
       &SimulationFindings::double_runs},
      {"unknown told as not-run", InjectedFault::kReportUnknownAsNotRun,
       &SimulationFindings::false_not_run},
      {"repeated token", InjectedFault::kRepeatToken,
       &SimulationFindings::stream_errors},
      {"swapped tokens", InjectedFault::kSwapTokens,
       &SimulationFindings::stream_errors},
      {"stale token", InjectedFault::kInsertStaleToken,
       &SimulationFindings::stream_errors},
      {"retry after dispatch", InjectedFault::kRetryAfterDispatch,
       &SimulationFindings::double_runs},
      {"store overwrites", InjectedFault::kStoreOverwrites,
       &SimulationFindings::double_runs},
      {"later attempts do not close earlier ones",
       InjectedFault::kForgetAttempts, &SimulationFindings::false_not_run,
       kRareHistories},
      {"lost answer", InjectedFault::kLoseAnswer,
       &SimulationFindings::accepted_lost},
  };
  for (const InjectedFaultCase& item : cases) {
    const SimulationFindings sum = RunHistories(item.fault, item.histories);
    cr_assert(sum.*(item.detected_by) > 0, "%s", item.name);
  }
}
