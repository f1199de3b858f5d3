#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "routing/prefix_index.h"

namespace pistachiowalk::measure {

// A request of the trace. A conversation's next turn starts after the answer.
struct TraceRequest {
  // Seconds from the start for a first turn, think time for a later one.
  double delay = 0.0;
  uint32_t origin_place = 0;
  std::vector<PrefixBlock> prompt;
  PrefixBlock answer;
  uint32_t output_tokens = 0;
};

using Conversation = std::vector<TraceRequest>;

// A deployment and the requests of its callers.
struct Deployment {
  std::string name;
  uint32_t on_demand_endpoints = 0;
  uint32_t reclaimable_endpoints = 0;
  double on_demand_price = 0.0;
  double reclaimable_price = 0.0;
  uint64_t cache_tokens = 0;
  double cost_weight = 1.0;
  double recompute_weight = 1.0;
  std::vector<Conversation> conversations;
};

// Fitting consults in several turns.
Deployment MakeAssociation(uint64_t seed, double seconds);
// Long fault histories, short tickets and residents' chat.
Deployment MakeVltavice(uint64_t seed, double seconds);

}  // namespace pistachiowalk::measure
