#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/prefix_index.h"

namespace pistachiowalk {

// The properties of a request that routing depends on.
struct RouteRequest {
  ServiceName service;
  TimePoint deadline{};
  // Endpoints used by earlier attempts of the request.
  std::vector<EndpointId> avoid;
  // The prompt's blocks from its start; empty for a service without a model
  // engine.
  std::vector<PrefixBlock> prompt;
  uint32_t expected_output_tokens = 0;
  std::chrono::milliseconds first_token_target{1900};
  std::chrono::milliseconds token_gap_target{54};
  // The bundle's weights of cost and of recomputation.
  double cost_weight = 1.0;
  double recompute_weight = 1.0;
};

uint64_t PromptTokens(const RouteRequest& request);

}  // namespace pistachiowalk
