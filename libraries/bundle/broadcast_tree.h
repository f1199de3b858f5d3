#pragma once

#include <string_view>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// Maximum number of children of a node.
constexpr size_t kBroadcastTreeFanout = 4;

// Returns the children of `parent` in a broadcast tree over the nodes of a data
// centre. The tree is rooted at `origin`, which need not be in the data centre,
// and is shuffled differently for each `purpose`, which distributes the work of
// its inner nodes. Nodes with the same membership view compute the same tree.
std::vector<NodeId> BroadcastTreeChildren(std::string_view purpose,
                                          const std::vector<NodeId>& nodes,
                                          const NodeId& origin,
                                          const NodeId& parent);

}  // namespace pistachiowalk
