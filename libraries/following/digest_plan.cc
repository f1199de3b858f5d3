#include "following/digest_plan.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Up to this many nodes, each sends its digests to all others: 15 digests of a
// few kilobytes, five times a second, take less than a megabit per second.
constexpr size_t kMaximumFullMeshNodes = 16;
// Nodes of a data centre that receive digests while its representative is
// unknown.
constexpr size_t kCandidatesPerDataCenter = 2;

void AddOnce(std::vector<NodeId>& nodes, const NodeId& node) {
  if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) {
    nodes.push_back(node);
  }
}

}  // namespace

bool RanksBefore(const DigestPlanNode& a, const DigestPlanNode& b) {
  return a.link_megabits != b.link_megabits ? a.link_megabits > b.link_megabits
                                            : a.node < b.node;
}

DigestPlan PlanDigests(const DigestPlanNode& self,
                       const std::vector<DigestPlanNode>& others,
                       const std::map<DataCenterName, NodeId>& representatives,
                       uint64_t round) {
  DigestPlan plan;
  if (others.size() + 1 <= kMaximumFullMeshNodes) {
    for (const DigestPlanNode& other : others) {
      plan.direct.push_back(other.node);
    }
    return plan;
  }
  plan.represents_data_center = self.is_serving;
  std::map<DataCenterName, std::vector<DigestPlanNode>> remote;
  for (const DigestPlanNode& other : others) {
    if (other.data_center != self.data_center) {
      remote[other.data_center].push_back(other);
      continue;
    }
    plan.direct.push_back(other.node);
    if (other.is_serving && RanksBefore(other, self)) {
      plan.represents_data_center = false;
    }
  }
  if (!plan.represents_data_center) {
    return plan;
  }
  for (auto& [name, nodes] : remote) {
    std::sort(nodes.begin(), nodes.end(), RanksBefore);
    const auto representative = representatives.find(name);
    if (representative != representatives.end()) {
      AddOnce(plan.remote, representative->second);
    } else {
      for (size_t i = 0; i < std::min(kCandidatesPerDataCenter, nodes.size());
           ++i) {
        AddOnce(plan.remote, nodes[i].node);
      }
    }
    AddOnce(plan.remote, nodes[round % nodes.size()].node);
  }
  return plan;
}

}  // namespace pistachiowalk
