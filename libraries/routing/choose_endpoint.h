#pragma once

#include <optional>
#include <random>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/endpoint_table.h"
#include "routing/route_estimate.h"
#include "routing/route_request.h"

namespace pistachiowalk {

// State of the node that the choice depends on besides the request.
struct RouteContext {
  const EndpointTable& endpoints;
  const PrefixIndex& prefixes;
  EngineProfile profile;
  TimePoint now{};
};

// What the prefix index knows of a prompt's cache state at an endpoint.
struct CacheEstimate {
  double cached_tokens = 0.0;
  // See PrefixLookup.
  double shared_tokens = 0.0;
  // See PrefixIndex::EvictionPressure.
  double eviction_pressure = 0.0;
  // The endpoint is the prompt's home: nodes without cache state for the prompt
  // choose it by rendezvous hashing.
  bool is_home = false;

  friend auto operator<=>(const CacheEstimate&, const CacheEstimate&) = default;
};

// Returns the weighted cost of sending the request to the endpoint; lower is
// better. It adds the estimated price, recomputed tokens, billed traffic and
// lateness.
double ScoreRoute(const RouteRequest& request,
                  const EndpointRecord& record,
                  const CacheEstimate& cache,
                  const EngineProfile& profile,
                  TimePoint now);

// Chooses the live endpoint with the lowest score, with some jitter so that
// nodes with the same reports do not all choose the same one. For a small
// service all endpoints are candidates; for a large one, the probable holders
// of the prompt's prefix, two positions on the affinity ring and a random
// sample. Avoided and ejected endpoints are chosen only if there is no other.
// Returns nullopt if no endpoint is live.
std::optional<EndpointId> ChooseEndpoint(const RouteRequest& request,
                                         const RouteContext& context,
                                         std::mt19937_64& generator);

}  // namespace pistachiowalk
