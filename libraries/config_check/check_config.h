#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "config_check/config_finding.h"

namespace pistachiowalk {

struct ServingConfig;

// What the author knows of the deployment; checks that need what is missing are
// left out.
struct DeploymentFacts {
  std::optional<uint32_t> nodes;
  // Memory of the smallest node in MiB.
  std::optional<uint32_t> node_mebibytes;
  // Prompt tokens that one worker of an engine service reads in a second.
  std::optional<double> worker_tokens_per_second;

  friend auto operator<=>(const DeploymentFacts&,
                          const DeploymentFacts&) = default;
};

// Returns the entries of a config that can never match or have no effect, and
// the values that contradict each other. Takes n log n for n routes.
std::vector<ConfigFinding> CheckConfig(const ServingConfig& config,
                                       const DeploymentFacts& facts);

}  // namespace pistachiowalk
