#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// What PlanDigests() needs to know of a node.
struct DigestPlanNode {
  NodeId node;
  DataCenterName data_center;
  uint32_t link_megabits = 0;
  // Neither silent nor shutting down.
  bool is_serving = false;

  friend auto operator<=>(const DigestPlanNode&,
                          const DigestPlanNode&) = default;
};

// The receivers of a node's digests.
struct DigestPlan {
  // Nodes that receive this node's own digest.
  std::vector<NodeId> direct;
  // This node is the representative of its data centre: it sends the sums over
  // its data centre to the others and forwards theirs to its own.
  bool represents_data_center = false;
  // If so, the nodes of other data centres that receive its data centre digest.
  std::vector<NodeId> remote;

  friend auto operator<=>(const DigestPlan&, const DigestPlan&) = default;
};

// In a small deployment all nodes send digests to each other. In a larger one,
// each node sends to its own data centre, and the node with the widest link
// sends to the other data centres as representative of its own.
// `representatives` are the known representatives of the other data centres;
// `round` selects one further node of each in turn, so that a new
// representative is discovered.
//
// A full mesh grows with the square of the nodes: at 91 nodes digests saturated
// narrow links, so that digests were lost and responses were delayed.
DigestPlan PlanDigests(const DigestPlanNode& self,
                       const std::vector<DigestPlanNode>& others,
                       const std::map<DataCenterName, NodeId>& representatives,
                       uint64_t round);

// Whether `a` takes precedence over `b` in acting for their data centre.
bool RanksBefore(const DigestPlanNode& a, const DigestPlanNode& b);

}  // namespace pistachiowalk
