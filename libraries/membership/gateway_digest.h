#pragma once

#include <cstdint>

#include "base/ids.h"
#include "membership/node_address.h"

namespace pistachiowalk {

// Summary of a data centre that its gateways publish to other data centres:
// the number of live nodes and how to reach the gateway.
struct GatewayDigest {
  DataCenterName data_center;
  // The gateway that publishes the digest and is the contact for its data
  // centre.
  NodeId gateway;
  NodeAddress address;
  // Address of the gateway's HTTP server for callers.
  NodeAddress http;
  uint64_t incarnation = 0;
  // Increases with each digest published by this incarnation.
  uint64_t sequence = 0;
  uint32_t live_nodes = 0;

  friend auto operator<=>(const GatewayDigest&, const GatewayDigest&) = default;
};

}  // namespace pistachiowalk
