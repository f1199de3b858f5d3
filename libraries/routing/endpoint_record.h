#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "routing/endpoint.h"

namespace pistachiowalk {

// How far an endpoint is from the node that routes.
enum class Proximity : uint8_t { kSamePlace, kSameRegion, kCrossRegion };

// What the bundle says of an endpoint's place and class.
struct EndpointAttributes {
  Proximity proximity = Proximity::kSamePlace;
  double price_per_hour = 1.0;
  bool is_reclaimable = false;
  // Sequences the endpoint can batch at once.
  uint32_t slots = 16;

  friend auto operator<=>(const EndpointAttributes&,
                          const EndpointAttributes&) = default;
};

// An endpoint's own word on its load; it arrives late and may be lost.
struct LoadReport {
  // When the endpoint took the sample, by the receiving node's clock.
  TimePoint sampled_at{};
  uint32_t running = 0;
  uint32_t waiting = 0;
  // Prompt tokens that are still to be prefilled.
  uint64_t pending_prefill_tokens = 0;

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

// A request sent by this node that the last report may not show.
struct RecentSend {
  TimePoint sent_at{};
  uint32_t prefill_tokens = 0;

  friend auto operator<=>(const RecentSend&, const RecentSend&) = default;
};

// What this node knows of one endpoint.
struct EndpointRecord {
  Endpoint endpoint;
  EndpointAttributes attributes;
  // Hash of the id: orders endpoints on the affinity ring.
  uint64_t key = 0;
  // Requests this node has sent there that are not over.
  uint32_t in_flight = 0;
  bool has_report = false;
  LoadReport report;
  std::vector<RecentSend> recent_sends;
  // When the endpoint was first listed, for slow start.
  TimePoint live_since{};
  bool needs_slow_start = false;
  uint32_t consecutive_failures = 0;
  uint32_t ejection_count = 0;
  // No new work before this time, after failures.
  TimePoint ejected_until{};
  // When the endpoint was first known to leave; unset while it is live.
  TimePoint leaving_since{};
  bool is_leaving = false;
};

// Stable hash of an endpoint's id.
uint64_t EndpointKey(std::string_view id);

}  // namespace pistachiowalk
