#pragma once

#include <cstdint>

// Options and results of the request fuzzer's simulations.
namespace pistachiowalk::measure {

// A fault injected into the system under test to check that the oracle
// detects it.
enum class InjectedFault {
  kNone,
  // Every claim is granted at once.
  kGrantWithoutClaim,
  // `unknown` is reported as `not-run`.
  kReportUnknownAsNotRun,
  // A token is sent twice.
  kRepeatToken,
  // Two tokens change places.
  kSwapTokens,
  // A token of an abandoned attempt is sent as one of the current attempt.
  kInsertStaleToken,
  // Every failed attempt counts as certainly not dispatched.
  kRetryAfterDispatch,
  // The store writes without comparing revisions.
  kStoreOverwrites,
  // A repetition that did not run leaves earlier attempts able to run.
  kForgetAttempts,
  // An accepted request is never answered.
  kLoseAnswer,
};

struct SimulationOptions {
  uint64_t seed = 1;
  InjectedFault fault = InjectedFault::kNone;
};

// What the oracle found in one history.
struct SimulationFindings {
  uint64_t steps = 0;
  uint64_t double_runs = 0;
  uint64_t false_not_run = 0;
  uint64_t stream_errors = 0;
  uint64_t accepted_lost = 0;
  uint64_t actions_reported = 0;
  uint64_t unknown_reported = 0;
  uint64_t actions_run = 0;
};

}  // namespace pistachiowalk::measure
