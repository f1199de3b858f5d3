#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "routing/choose_endpoint.h"

namespace pistachiowalk::measure {

// Per-node state of a policy.
struct PolicyState {
  std::mt19937_64 generator;
  uint64_t next = 0;
};

// A routing policy that uses the knowledge of one node.
using Policy = std::optional<EndpointId> (*)(const RouteRequest& request,
                                             const RouteContext& context,
                                             PolicyState& state);

struct NamedPolicy {
  std::string name;
  Policy policy = nullptr;
};

// The five baselines and `pistachiowalk`.
std::vector<NamedPolicy> AllPolicies();

}  // namespace pistachiowalk::measure
