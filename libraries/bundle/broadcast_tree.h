#pragma once

#include <string_view>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// Nodes to which one node passes a change on.
constexpr size_t kBroadcastTreeFanout = 4;

// The children of `parent` in a tree over the nodes of a data centre, rooted
// at `origin` and another one for each `purpose`, so that the work of its
// inner nodes goes round. Nodes that see the same members see the same tree.
// An origin of another data centre roots it all the same.
std::vector<NodeId> BroadcastTreeChildren(std::string_view purpose,
                                          const std::vector<NodeId>& nodes,
                                          const NodeId& origin,
                                          const NodeId& parent);

}  // namespace pistachiowalk
