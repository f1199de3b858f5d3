#include "bundle/broadcast_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pistachiowalk {

std::vector<NodeId> BroadcastTreeChildren(std::string_view purpose,
                                          const std::vector<NodeId>& nodes,
                                          const NodeId& origin,
                                          const NodeId& parent) {
  const uint64_t seed = XXH64(purpose.data(), purpose.size(), 0);
  std::vector<std::pair<uint64_t, const NodeId*>> order;
  order.reserve(nodes.size() + 1);
  for (const NodeId& node : nodes) {
    if (node != origin) {
      const std::string& name = node.value();
      order.emplace_back(XXH64(name.data(), name.size(), seed), &node);
    }
  }
  std::sort(order.begin(), order.end());
  order.insert(order.begin(), {0, &origin});
  const auto own =
      std::find_if(order.begin(), order.end(),
                   [&](const auto& item) { return *item.second == parent; });
  std::vector<NodeId> children;
  const auto position = static_cast<size_t>(own - order.begin());
  const size_t first = kBroadcastTreeFanout * position + 1;
  for (size_t i = first;
       i < std::min(first + kBroadcastTreeFanout, order.size()); ++i) {
    children.push_back(*order[i].second);
  }
  return children;
}

}  // namespace pistachiowalk
