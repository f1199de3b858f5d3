#pragma once

#include <vector>

#include "base/ids.h"
#include "membership/node_port.h"

namespace pistachiowalk {

// The other nodes of this data centre in the order in which they take over a
// request, by rendezvous hash: every node finds the same order.
std::vector<NodeView> RankPeers(const NodePort& nodes,
                                const RequestId& request);

}  // namespace pistachiowalk
