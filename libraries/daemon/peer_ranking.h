#pragma once

#include <vector>

#include "base/ids.h"
#include "membership/node_port.h"

namespace pistachiowalk {

// Returns the other nodes of this data centre in the order in which they are
// tried for a request. Rendezvous hashing gives the same order on every node.
std::vector<NodeView> RankPeers(const NodePort& nodes,
                                const RequestId& request);

}  // namespace pistachiowalk
