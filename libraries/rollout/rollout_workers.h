#pragma once

#include <cstdint>
#include <vector>

namespace pistachiowalk {

// The workers of a service that are listed now.
struct RolloutWorkers {
  uint32_t old_versions = 0;
  uint32_t target = 0;
  // Requests that run at workers of the old versions, over all nodes.
  uint32_t open_at_old_versions = 0;
  // Keys of the target's endpoints, as for IsAllowed().
  std::vector<uint64_t> target_keys;

  friend auto operator<=>(const RolloutWorkers&,
                          const RolloutWorkers&) = default;
};

}  // namespace pistachiowalk
