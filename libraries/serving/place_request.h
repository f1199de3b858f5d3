#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/endpoint_record.h"
#include "serving/engine_load.h"

namespace pistachiowalk {

// How long an engine takes to fetch a prefix from the cache of another one.
struct PrefixTransfer {
  // 0 if the engines of the service cannot fetch.
  double ms_per_token = 0.0;

  bool is_possible() const { return ms_per_token > 0.0; }
  friend auto operator<=>(const PrefixTransfer&,
                          const PrefixTransfer&) = default;
};

// Returns the transfer over an engine's link of `link_megabits` megabits per
// second.
PrefixTransfer MakePrefixTransfer(uint64_t bytes_per_token,
                                  double link_megabits);

// What the placement needs to know of a request.
struct PlacementRequest {
  // 0 for a service without a model engine.
  double prompt_tokens = 0.0;
  double output_tokens = 0.0;
  // Hash of the prompt prefix that other requests share, by which nodes choose
  // the same endpoint without coordination; 0 for none.
  uint64_t affinity = 0;
  // Tokens of the last prompt block, which no other request shares.
  double unshared_tokens = 0.0;
  // Body size; transfer between data centres costs money and time.
  double request_bytes = 0.0;
  PrefixTransfer transfer;
};

// An endpoint of the request's service.
struct PlacementCandidate {
  EndpointId id;
  uint64_t key = 0;
  Proximity proximity = Proximity::kSamePlace;
  EndpointLoad load;
  // Leading prompt tokens that are probably in its cache.
  double cached_tokens = 0.0;
  // Since when it has been sent prompts with these, and when the last time.
  TimePoint cached_since{};
  TimePoint cached_at{};
  // Only engines of one version fetch from one another.
  SoftwareVersion version;
  double failure_score = 0.0;
  bool is_ejected = false;
  // An earlier attempt of this request was sent there.
  bool is_avoided = false;
  // No connection is idle, and no new one may be opened now.
  bool has_no_free_connection = false;
  // It names a limit, and this node may send it nothing now.
  bool has_reached_limit = false;
  // How much longer it wants no request from this node; zero if it takes them.
  Duration pause{};
};

struct Placement {
  EndpointId id;
  FirstEventEstimate first_event;
  // Prompt tokens that the endpoint has to prefill.
  double uncached_tokens = 0.0;
  // The endpoint from whose cache it fetches a part of the prompt, and how many
  // tokens that is.
  std::optional<EndpointId> fetch_from;
  double fetched_tokens = 0.0;

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

// Chooses the endpoint with the lowest cost: the estimated time to the first
// event, plus penalties for distance and for recent failures. Prompts with a
// common prefix go to the same endpoint of a data centre, unless its extra load
// costs more than the cached prefix saves. `draw` is uniform in [0, 1) and
// seeds the jitter that keeps nodes with the same view from all choosing the
// same endpoint. Returns nullopt when no candidate can take the request.
//
// Where engines can fetch from one another, an endpoint that lacks the prefix
// takes it from the one that used it last, if that is sooner than to prefill
// it.
//
// This covers many requests with few distinct prompts, uneven endpoints, and
// nodes whose views are some hundred milliseconds old.
std::optional<Placement> PlaceRequest(
    const PlacementRequest& request,
    const std::vector<PlacementCandidate>& candidates,
    const EngineSpeed& speed,
    double draw,
    TimePoint now);

}  // namespace pistachiowalk
