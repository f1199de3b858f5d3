#include "following/stream_keepers.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pistachiowalk {

std::vector<NodeId> ChooseStreamKeepers(StreamKey key,
                                        const std::vector<NodeId>& nodes,
                                        size_t count) {
  std::vector<std::pair<uint64_t, const NodeId*>> ranked;
  ranked.reserve(nodes.size());
  for (const NodeId& node : nodes) {
    ranked.emplace_back(XXH3_64bits_withSeed(node.value().data(),
                                             node.value().size(), key.value),
                        &node);
  }
  const size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<ptrdiff_t>(kept),
                    ranked.end());
  std::vector<NodeId> keepers;
  for (size_t i = 0; i < kept; ++i) {
    keepers.push_back(*ranked[i].second);
  }
  return keepers;
}

}  // namespace pistachiowalk
