#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "routing/endpoint.h"

namespace pistachiowalk {

// Distance of an endpoint from the routing node.
enum class Proximity : uint8_t { kSamePlace, kSameRegion, kCrossRegion };

// Attributes of an endpoint's place and VM class, from the bundle.
struct EndpointAttributes {
  Proximity proximity = Proximity::kSamePlace;
  double price_per_hour = 1.0;
  bool is_reclaimable = false;
  // Maximum number of sequences in a batch.
  uint32_t slots = 16;

  friend auto operator<=>(const EndpointAttributes&,
                          const EndpointAttributes&) = default;
};

// The load that an endpoint reports. Reports arrive late and may be lost.
struct LoadReport {
  // Sampling time at the endpoint, in the receiving node's clock.
  TimePoint sampled_at{};
  uint32_t running = 0;
  uint32_t waiting = 0;
  // Prompt tokens that are not prefilled yet.
  uint64_t pending_prefill_tokens = 0;

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

// A request sent by this node that the last report may not include.
struct RecentSend {
  TimePoint sent_at{};
  uint32_t prefill_tokens = 0;

  friend auto operator<=>(const RecentSend&, const RecentSend&) = default;
};

// This node's state of one endpoint.
struct EndpointRecord {
  Endpoint endpoint;
  EndpointAttributes attributes;
  // Hash of the id, which orders endpoints on the affinity ring.
  uint64_t key = 0;
  // Requests sent by this node that are not finished.
  uint32_t in_flight = 0;
  bool has_report = false;
  LoadReport report;
  std::vector<RecentSend> recent_sends;
  // When the endpoint was first listed, for slow start.
  TimePoint live_since{};
  bool needs_slow_start = false;
  uint32_t consecutive_failures = 0;
  uint32_t ejection_count = 0;
  // Gets no new requests before this time, after failures.
  TimePoint ejected_until{};
  // When this node first learnt that the endpoint leaves; unset while it is
  // live.
  TimePoint leaving_since{};
  bool is_leaving = false;
};

// Returns a stable hash of an endpoint's id.
uint64_t EndpointKey(std::string_view id);

}  // namespace pistachiowalk
