#include "following/telling_plan.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Nodes, this one included, up to which each tells all others: 15 digests of
// some kilobytes, five times a second, are under a megabit a second.
constexpr size_t kMostDirectNodes = 16;
// Nodes of a data centre that are tried while its teller is not known.
constexpr size_t kFirstTried = 2;

void AddOnce(std::vector<NodeId>& nodes, const NodeId& node) {
  if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) {
    nodes.push_back(node);
  }
}

}  // namespace

bool ComesBefore(const TellingNode& a, const TellingNode& b) {
  return a.link_megabits != b.link_megabits ? a.link_megabits > b.link_megabits
                                            : a.node < b.node;
}

TellingPlan PlanTelling(const TellingNode& self,
                        const std::vector<TellingNode>& others,
                        const std::map<DataCenterName, NodeId>& tellers,
                        uint64_t round) {
  TellingPlan plan;
  if (others.size() + 1 <= kMostDirectNodes) {
    for (const TellingNode& other : others) {
      plan.direct.push_back(other.node);
    }
    return plan;
  }
  plan.tells_for_data_center = self.is_serving;
  std::map<DataCenterName, std::vector<TellingNode>> distant;
  for (const TellingNode& other : others) {
    if (other.data_center != self.data_center) {
      distant[other.data_center].push_back(other);
      continue;
    }
    plan.direct.push_back(other.node);
    if (other.is_serving && ComesBefore(other, self)) {
      plan.tells_for_data_center = false;
    }
  }
  if (!plan.tells_for_data_center) {
    return plan;
  }
  for (auto& [name, nodes] : distant) {
    std::sort(nodes.begin(), nodes.end(), ComesBefore);
    const auto teller = tellers.find(name);
    if (teller != tellers.end()) {
      AddOnce(plan.distant, teller->second);
    } else {
      for (size_t i = 0; i < std::min(kFirstTried, nodes.size()); ++i) {
        AddOnce(plan.distant, nodes[i].node);
      }
    }
    AddOnce(plan.distant, nodes[round % nodes.size()].node);
  }
  return plan;
}

}  // namespace pistachiowalk
