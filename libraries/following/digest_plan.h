#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// A node as the planning of digests sees it.
struct DigestPlanNode {
  NodeId node;
  DataCenterName data_center;
  uint32_t link_megabits = 0;
  // Heard of late, and not about to stop.
  bool is_serving = false;

  friend auto operator<=>(const DigestPlanNode&,
                          const DigestPlanNode&) = default;
};

// To whom a node sends its digests.
struct DigestPlan {
  // Each gets the node's own digest.
  std::vector<NodeId> direct;
  // This node tells other data centres of all nodes in its own, and its own of
  // the others.
  bool represents_data_center = false;
  // If so, nodes of other data centres to tell.
  std::vector<NodeId> remote;

  friend auto operator<=>(const DigestPlan&, const DigestPlan&) = default;
};

// A few nodes all tell each other. Of many, each tells those of its data
// centre, and the one with the widest link tells the other data centres for
// all: `tellers` are the nodes that tell for them, as far as they are known,
// and `round` goes through their nodes in turn, so that one that took over is
// found.
//
// Answers digests whose number grows with the square of the nodes: at 91 nodes
// they filled narrow links, so that digests were lost and answers came late.
DigestPlan PlanDigests(const DigestPlanNode& self,
                       const std::vector<DigestPlanNode>& others,
                       const std::map<DataCenterName, NodeId>& representatives,
                       uint64_t round);

// Whether `a` comes before `b` in doing something for their data centre.
bool RanksBefore(const DigestPlanNode& a, const DigestPlanNode& b);

}  // namespace pistachiowalk
