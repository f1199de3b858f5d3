#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "routing/endpoint_record.h"
#include "serving/engine_load.h"

namespace pistachiowalk {

// What placing needs to know of a request.
struct PlacementRequest {
  // 0 for a plain service.
  double prompt_tokens = 0.0;
  double output_tokens = 0.0;
  // Hash of what other requests share with this one, to which endpoint nodes
  // agree without asking each other; 0 for none.
  uint64_t affinity = 0;
  // Tokens of the last part, which no other request shares.
  double unshared_tokens = 0.0;
  // Body bytes, which cost money and time between data centres.
  double request_bytes = 0.0;
};

// An endpoint that may take the request.
struct PlacementCandidate {
  EndpointId id;
  uint64_t key = 0;
  Proximity proximity = Proximity::kSamePlace;
  EndpointLoad load;
  // Leading tokens of the prompt that it probably holds.
  double cached_tokens = 0.0;
  double failure_score = 0.0;
  bool is_ejected = false;
  // Used by this request before, or turned it away.
  bool is_avoided = false;
  // Takes no new connection now, and none is idle.
  bool has_no_free_connection = false;
};

struct Placement {
  EndpointId id;
  double expected_first_event_ms = 0.0;
  double uncached_tokens = 0.0;

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

// Chooses the endpoint with the least expected time to the first event, plus
// what the distance costs and the harm of bad answers. Prompts that share
// parts keep to one endpoint in each data centre while it is not busier than
// the others by more than the shared part is worth. `draw` in [0, 1) breaks
// ties, so that nodes with the same view do not all choose the same one.
//
// Answers many requests of few prompts, uneven endpoints, and nodes that
// decide on views some hundred milliseconds old. nullopt when no candidate can
// take the request.
std::optional<Placement> PlaceRequest(
    const PlacementRequest& request,
    const std::vector<PlacementCandidate>& candidates,
    const EngineSpeed& speed,
    double draw,
    TimePoint now);

}  // namespace pistachiowalk
