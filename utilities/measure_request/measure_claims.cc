// Measures the cost of claims in store writes and added latency, both when
// every node writes for itself and when each range has a few writers.
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

#include "utilities/measure_request/claim_load.h"

namespace {

using pistachiowalk::measure::ClaimLoadResult;
using pistachiowalk::measure::RunClaimLoad;

// 67,000 requests a second, 5 in 100 of them actions, over 2,500 nodes.
constexpr double kActionsPerSecond = 3350;
constexpr double kActionsPerNode = kActionsPerSecond / 2500;

void Print(const char* name, const ClaimLoadResult& result) {
  fmt::print("claims.{}_writes_per_second: {:.1f} writes/s\n", name,
             result.writes_per_second);
  fmt::print("claims.{}_reads_per_second: {:.1f} reads/s\n", name,
             result.reads_per_second);
  fmt::print("claims.{}_written_bytes_per_second: {:.0f} bytes/s\n", name,
             result.written_bytes_per_second);
  fmt::print("claims.{}_added_latency_p50_ms: {:.1f} ms\n", name,
             result.added_latency_p50_ms);
  fmt::print("claims.{}_added_latency_p99_ms: {:.1f} ms\n", name,
             result.added_latency_p99_ms);
  fmt::print("claims.{}_cpu_us_per_action: {:.0f} us\n", name,
             result.cpu_us_per_action);
  fmt::print("claims.{}_state_bytes_per_action: {:.0f} bytes\n", name,
             result.state_bytes_per_action);
  fmt::print("claims.{}_refused: {} of {} actions\n", name, result.refused,
             result.actions);
  std::fflush(stdout);
}

ClaimLoadResult RunNodes(uint64_t nodes, uint64_t seed) {
  return RunClaimLoad(
      {.writers = nodes,
       .actions_per_second = kActionsPerNode * static_cast<double>(nodes),
       .seed = seed});
}

ClaimLoadResult RunGrouped(uint64_t writers, double share, uint64_t seed) {
  return RunClaimLoad({.writers = writers,
                       .actions_per_second = kActionsPerSecond * share,
                       .length = std::chrono::seconds(3),
                       .seed = seed});
}

}  // namespace

int main(int argc, char** argv) {
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const ClaimLoadResult today = RunNodes(8, seed);
  fmt::print("claims.store_writes_per_second: {:.2f} writes/s a node\n",
             today.writes_per_second / 8);
  fmt::print("claims.added_latency_p99_ms: {:.1f} ms\n",
             today.added_latency_p99_ms);
  Print("nodes_8", today);
  Print("nodes_32", RunNodes(32, seed));
  Print("nodes_64", RunNodes(64, seed));
  Print("one_writer_tenth", RunGrouped(1, 0.1, seed));
  Print("one_writer_third", RunGrouped(1, 0.33, seed));
  Print("one_writer_full", RunGrouped(1, 1, seed));
  Print("writers_18_tenth", RunGrouped(18, 0.1, seed));
  return 0;
}
