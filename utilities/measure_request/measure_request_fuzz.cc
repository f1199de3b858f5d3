// Fuzzes the request core: simulates histories of entry nodes, store and
// endpoints with faults and checks them with an oracle.
#include <fmt/format.h>

#include <chrono>
#include <cstdlib>

#include "utilities/measure_request/request_simulation.h"

namespace {

using pistachiowalk::measure::RequestSimulation;
using pistachiowalk::measure::SimulationFindings;
using pistachiowalk::measure::SimulationOptions;

constexpr uint64_t kHistories = 10'000;
// Distance between the seeds of one run and the next, so that they do not
// overlap.
constexpr uint64_t kSeedStride = 1'000'003;

void Add(SimulationFindings& sum,
         const SimulationFindings& one,
         uint64_t seed) {
  sum.steps += one.steps;
  sum.double_runs += one.double_runs;
  sum.false_not_run += one.false_not_run;
  sum.stream_errors += one.stream_errors;
  sum.accepted_lost += one.accepted_lost;
  sum.actions_reported += one.actions_reported;
  sum.unknown_reported += one.unknown_reported;
  sum.actions_run += one.actions_run;
  if (one.double_runs + one.false_not_run + one.stream_errors +
          one.accepted_lost >
      0) {
    fmt::print(stderr, "history with seed {} violates an invariant\n", seed);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const uint64_t histories =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : kHistories;
  SimulationFindings sum;
  for (uint64_t i = 0; i < histories; ++i) {
    const uint64_t history_seed = seed * kSeedStride + i;
    RequestSimulation simulation(SimulationOptions{.seed = history_seed});
    Add(sum, simulation.Run(), history_seed);
  }
  fmt::print("request.histories: {} count\n", histories);
  fmt::print("request.steps: {} count\n", sum.steps);
  fmt::print("request.actions_run: {} count\n", sum.actions_run);
  fmt::print("request.double_runs: {} count\n", sum.double_runs);
  fmt::print("request.false_not_run: {} count\n", sum.false_not_run);
  fmt::print("request.stream_errors: {} count\n", sum.stream_errors);
  fmt::print("request.accepted_lost: {} count\n", sum.accepted_lost);
  fmt::print(
      "request.unknown_share: {:.4f} ratio\n",
      static_cast<double>(sum.unknown_reported) /
          static_cast<double>(std::max<uint64_t>(1, sum.actions_reported)));
  return 0;
}
