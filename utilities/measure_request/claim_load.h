#pragma once

#include <cstdint>

#include "base/clock.h"

namespace pistachiowalk::measure {

// A load of actions on the claim ranges, over a store without faults.
struct ClaimLoad {
  uint64_t ranges = 16;
  // Nodes that write to each range.
  uint64_t writers = 1;
  double actions_per_second = 0;
  Duration length = std::chrono::seconds(10);
  uint64_t seed = 1;
};

struct ClaimLoadResult {
  double writes_per_second = 0;
  double reads_per_second = 0;
  double written_bytes_per_second = 0;
  double added_latency_p50_ms = 0;
  double added_latency_p99_ms = 0;
  double cpu_us_per_action = 0;
  double state_bytes_per_action = 0;
  uint64_t actions = 0;
  uint64_t refused = 0;
};

ClaimLoadResult RunClaimLoad(const ClaimLoad& load);

}  // namespace pistachiowalk::measure
