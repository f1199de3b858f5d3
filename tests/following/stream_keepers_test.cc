#include "following/stream_keepers.h"

#include <algorithm>
#include <map>
#include <string>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

std::vector<NodeId> Nodes(int count) {
  std::vector<NodeId> nodes;
  for (int number = 0; number < count; ++number) {
    nodes.emplace_back("front-" + std::to_string(number));
  }
  return nodes;
}

}  // namespace

Test(stream_keepers, an_asked_node_is_none_of_those_that_were_told) {
  for (uint64_t key = 0; key < 500; ++key) {
    std::vector<NodeId> nodes = Nodes(9);
    const std::vector<NodeId> told =
        ChooseStreamKeepers(StreamKey{key}, nodes, 3);
    cr_assert(told.size() == 3);
    // One of them ends, and three nodes join in another order.
    std::erase(nodes, told[0]);
    for (const char* joined : {"a", "b", "c"}) {
      nodes.emplace(nodes.begin(), joined);
    }
    const std::vector<NodeId> asked =
        ChooseStreamKeepers(StreamKey{key}, nodes, 6);
    cr_assert(std::count(asked.begin(), asked.end(), told[1]) == 1);
    cr_assert(std::count(asked.begin(), asked.end(), told[2]) == 1);
  }
}

Test(stream_keepers, one_node_keeps_all_streams) {
  std::map<NodeId, int> kept;
  for (uint64_t key = 0; key < 3000; ++key) {
    for (const NodeId& node :
         ChooseStreamKeepers(StreamKey{key}, Nodes(9), 3)) {
      ++kept[node];
    }
  }
  for (const auto& [node, count] : kept) {
    cr_assert(count > 800 && count < 1200, "%d", count);
  }
  cr_assert(ChooseStreamKeepers(StreamKey{1}, Nodes(2), 3).size() == 2);
  cr_assert(ChooseStreamKeepers(StreamKey{1}, {}, 3).empty());
}
