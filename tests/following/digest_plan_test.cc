#include "following/digest_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

// Models large deployments: each data centre has a few nodes with wide links
// among many with narrow ones.
std::vector<DigestPlanNode> MakeNodes(size_t data_centers,
                                      size_t nodes_each,
                                      size_t wide_each) {
  std::vector<DigestPlanNode> nodes;
  for (size_t place = 0; place < data_centers; ++place) {
    for (size_t i = 0; i < nodes_each; ++i) {
      nodes.push_back(DigestPlanNode{
          .node = NodeId(fmt::format("node-{}-{}", place, i)),
          .data_center = DataCenterName(fmt::format("place-{}", place)),
          .link_megabits = i + wide_each >= nodes_each ? 200U : 10U,
          .is_serving = true});
    }
  }
  return nodes;
}

DigestPlan PlanOf(const std::vector<DigestPlanNode>& nodes,
                  size_t self,
                  const std::map<DataCenterName, NodeId>& representatives = {},
                  uint64_t round = 0) {
  std::vector<DigestPlanNode> others = nodes;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
  return PlanDigests(nodes[self], others, representatives, round);
}

}  // namespace

Test(digest_plan, few_nodes_form_a_full_mesh) {
  const std::vector<DigestPlanNode> nodes = MakeNodes(3, 3, 0);
  for (size_t i = 0; i < nodes.size(); ++i) {
    const DigestPlan plan = PlanOf(nodes, i);
    cr_assert(plan.direct.size() == nodes.size() - 1);
    cr_assert(!plan.represents_data_center);
  }
}

// A full mesh of 91 nodes saturated links of 10 megabits per second, as a
// digest has about 1,500 bytes. Digests and what representatives forward may
// take a tenth of a narrow link.
Test(digest_plan, digests_of_many_nodes_leave_narrow_links_free) {
  constexpr size_t kPlaces = 6;
  constexpr size_t kEach = 15;
  constexpr double kDigestBits = 1500.0 * 8.0;
  constexpr double kDigestsPerSecond = 5.0;
  const std::vector<DigestPlanNode> nodes = MakeNodes(kPlaces, kEach, 2);
  size_t representatives = 0;
  for (size_t i = 0; i < nodes.size(); ++i) {
    const DigestPlan plan = PlanOf(nodes, i);
    const double bits = static_cast<double>(plan.direct.size()) * kDigestBits *
                        kDigestsPerSecond;
    cr_assert(bits < 1e6);
    for (const NodeId& receiver : plan.direct) {
      cr_assert(std::any_of(nodes.begin(), nodes.end(), [&](const auto& node) {
        return node.node == receiver &&
               node.data_center == nodes[i].data_center;
      }));
    }
    if (plan.represents_data_center) {
      ++representatives;
      cr_assert(nodes[i].link_megabits == 200);
    }
  }
  cr_assert(representatives == kPlaces);
}

Test(digest_plan, another_node_takes_over_from_one_that_stops) {
  std::vector<DigestPlanNode> nodes = MakeNodes(6, 4, 1);
  cr_assert(PlanOf(nodes, 3).represents_data_center);
  nodes[3].is_serving = false;
  cr_assert(!PlanOf(nodes, 3).represents_data_center);
  cr_assert(PlanOf(nodes, 0).represents_data_center);
  cr_assert(!PlanOf(nodes, 1).represents_data_center);
}

Test(digest_plan,
     a_known_representative_receives_every_digest_and_others_in_turn) {
  const std::vector<DigestPlanNode> nodes = MakeNodes(6, 4, 1);
  const std::map<DataCenterName, NodeId> representatives = {
      {DataCenterName("place-1"), NodeId("node-1-2")}};
  std::set<NodeId> receivers;
  for (uint64_t round = 0; round < 4; ++round) {
    const DigestPlan plan = PlanOf(nodes, 3, representatives, round);
    cr_assert(std::count(plan.remote.begin(), plan.remote.end(),
                         NodeId("node-1-2")) == 1);
    // If the representative is unknown, the highest ranked nodes are tried.
    cr_assert(std::count(plan.remote.begin(), plan.remote.end(),
                         NodeId("node-2-3")) == 1);
    receivers.insert(plan.remote.begin(), plan.remote.end());
  }
  cr_assert(receivers.size() == 5 * 4);
}
