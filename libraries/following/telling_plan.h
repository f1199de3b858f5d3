#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// A node as the planning of digests sees it.
struct TellingNode {
  NodeId node;
  DataCenterName data_center;
  uint32_t link_megabits = 0;
  // Heard of late, and not about to stop.
  bool is_serving = false;

  friend auto operator<=>(const TellingNode&, const TellingNode&) = default;
};

// To whom a node sends its digests.
struct TellingPlan {
  // Each gets the node's own digest.
  std::vector<NodeId> direct;
  // This node tells other data centres of all nodes in its own, and its own of
  // the others.
  bool tells_for_data_center = false;
  // If so, nodes of other data centres to tell.
  std::vector<NodeId> distant;

  friend auto operator<=>(const TellingPlan&, const TellingPlan&) = default;
};

// A few nodes all tell each other. Of many, each tells those of its data
// centre, and the one with the widest link tells the other data centres for
// all: `tellers` are the nodes that tell for them, as far as they are known,
// and `round` goes through their nodes in turn, so that one that took over is
// found.
//
// Answers digests whose number grows with the square of the nodes: at 91 nodes
// they filled narrow links, so that digests were lost and answers came late.
TellingPlan PlanTelling(const TellingNode& self,
                        const std::vector<TellingNode>& others,
                        const std::map<DataCenterName, NodeId>& tellers,
                        uint64_t round);

// Whether `a` comes before `b` in doing something for their data centre.
bool ComesBefore(const TellingNode& a, const TellingNode& b);

}  // namespace pistachiowalk
