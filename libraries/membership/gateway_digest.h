#pragma once

#include <cstdint>

#include "base/ids.h"
#include "membership/node_address.h"

namespace pistachiowalk {

// What other data centres hear of one: a count and a node to speak to.
struct GatewayDigest {
  DataCenterName data_center;
  // The gateway that reports, and that answers for its data centre.
  NodeId gateway;
  NodeAddress address;
  // Where the gateway serves callers.
  NodeAddress http;
  uint64_t incarnation = 0;
  // Rises with each report of the incarnation.
  uint64_t sequence = 0;
  uint32_t live_nodes = 0;

  friend auto operator<=>(const GatewayDigest&, const GatewayDigest&) = default;
};

}  // namespace pistachiowalk
