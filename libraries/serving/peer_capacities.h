#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "serving/endpoint_capacity.h"
#include "serving/endpoint_capacity_report.h"

namespace pistachiowalk {

// Describes what this node has measured of an endpoint; nullopt if that is
// nothing, or as usual and `is_discussed` is false. An endpoint is discussed if
// other nodes have reported it: then those that found it as usual report too.
std::optional<EndpointCapacityReport> DescribeCapacity(
    uint64_t endpoint_key,
    const CapacitySamples& own,
    const MomentaryPace& momentary,
    const UsualPace& usual,
    bool is_discussed,
    TimePoint now);

// What other nodes have measured of the endpoints.
//
// This covers many nodes of which each sends few requests to an endpoint: what
// one has measured in a second tells little, and all of them together know it.
class PeerCapacities {
 public:
  // Replaces what the node has reported, unless `state` is older than that.
  void Apply(const EndpointCapacityState& state, TimePoint now);
  // Forgets nodes whose reports have lost their weight; must be called
  // periodically.
  void Step(TimePoint now);

  // Zero if no node has reported the endpoint.
  CapacitySamples SamplesOf(uint64_t endpoint_key) const;
  MomentaryPace MomentaryOf(uint64_t endpoint_key) const;
  bool IsReported(uint64_t endpoint_key) const;

 private:
  struct FromNode {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    TimePoint received_at{};
    std::vector<EndpointCapacityReport> reports;
  };
  struct OfEndpoint {
    CapacitySamples samples;
    MomentaryPace momentary;
  };

  const OfEndpoint* Find(uint64_t endpoint_key) const;
  void Sum() const;

  std::map<NodeId, FromNode> m_nodes;
  // When the latest reports were received.
  TimePoint m_received_at{};
  // Computed lazily after a change, as with many peers reports arrive more
  // often than requests.
  mutable std::map<uint64_t, OfEndpoint> m_endpoints;
  mutable bool m_is_stale = false;
};

}  // namespace pistachiowalk
