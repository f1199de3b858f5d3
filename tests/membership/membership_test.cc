#include "membership/membership.h"

#include <chrono>

#include "membership/membership_harness.h"
#include "support/criterion.h"

using namespace pistachiowalk;
using pistachiowalk::testing::MembershipHarness;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr uint64_t kSeed = 7;

void StartNodes(MembershipHarness& harness, int count) {
  for (int i = 0; i < count; ++i) {
    harness.Start("n" + std::to_string(10 + i), "dc", 1);
  }
  harness.Run(seconds(15));
}

bool AllCountLive(MembershipHarness& harness, size_t live) {
  for (auto& [name, node] : harness.nodes()) {
    if (node.is_running && harness.LiveCountAt(name) != live) {
      return false;
    }
  }
  return true;
}

}  // namespace

Test(membership, nodes_discover_each_other_through_seeds) {
  MembershipHarness harness(kSeed);
  StartNodes(harness, 20);
  cr_assert(AllCountLive(harness, 20));
}

Test(membership, a_stopped_node_is_marked_failed_in_time) {
  MembershipHarness harness(kSeed);
  StartNodes(harness, 20);
  harness.Stop("n17");
  harness.Run(seconds(12));
  cr_assert(AllCountLive(harness, 19));
  cr_assert(harness.StateAt("n10", "n17") == MemberState::kFailed);
}

Test(membership, a_leave_reaches_all_nodes_in_two_seconds) {
  MembershipHarness harness(kSeed);
  StartNodes(harness, 20);
  harness.Leave("n17");
  harness.Run(seconds(2));
  harness.Stop("n17");
  cr_assert(AllCountLive(harness, 19));
  cr_assert(harness.StateAt("n10", "n17") == MemberState::kLeft);
}

Test(membership, a_leave_reaches_all_nodes_in_two_seconds_at_full_size) {
  MembershipHarness harness(kSeed);
  StartNodes(harness, 139);
  harness.Run(seconds(60));
  cr_assert(AllCountLive(harness, 139));
  harness.Leave("n17");
  harness.Run(seconds(2));
  harness.Stop("n17");
  cr_assert(AllCountLive(harness, 138));
}

Test(membership, replayed_messages_do_not_revive_a_left_node) {
  MembershipHarness harness(kSeed);
  StartNodes(harness, 10);
  const auto history = harness.history();
  harness.Leave("n17");
  harness.Run(seconds(4));
  harness.Stop("n17");
  for (const auto& [to, envelope] : history) {
    harness.Deliver(to, envelope);
  }
  harness.Run(seconds(5));
  cr_assert(AllCountLive(harness, 9));
}

Test(membership, a_restarted_node_is_live_again) {
  MembershipHarness harness(kSeed);
  StartNodes(harness, 10);
  harness.Leave("n17");
  harness.Run(seconds(4));
  harness.Start("n17", "dc", 100);
  harness.Run(seconds(8));
  cr_assert(AllCountLive(harness, 10));
}

Test(membership, a_restarted_node_whose_clock_was_set_back_is_live_again) {
  MembershipHarness harness(kSeed);
  StartNodes(harness, 10);
  harness.Leave("n17");
  harness.Run(seconds(4));
  harness.Start("n17", "dc", 0);
  harness.Run(seconds(20));
  cr_assert(AllCountLive(harness, 10));
}

Test(membership, a_paused_node_marks_no_other_node_failed) {
  MembershipHarness harness(kSeed);
  StartNodes(harness, 20);
  harness.node("n17").is_paused = true;
  harness.Run(seconds(20));
  cr_assert(harness.StateAt("n10", "n17") == MemberState::kFailed);
  bool is_false_alarm = false;
  harness.on_change = [&](const auto&, const MemberChanged& change) {
    is_false_alarm |= change.member.state == MemberState::kFailed &&
                      change.member.node != NodeId("n17");
  };
  harness.node("n17").is_paused = false;
  harness.Run(seconds(30));
  cr_assert(!is_false_alarm);
  cr_assert(AllCountLive(harness, 20));
}

Test(membership, views_converge_after_a_partition) {
  MembershipHarness harness(kSeed);
  StartNodes(harness, 12);
  for (int i = 6; i < 12; ++i) {
    harness.node("n" + std::to_string(10 + i)).partition = 1;
  }
  harness.Run(minutes(2));
  cr_assert(AllCountLive(harness, 6));
  for (auto& [name, node] : harness.nodes()) {
    node.partition = 0;
  }
  harness.Run(seconds(40));
  cr_assert(AllCountLive(harness, 12));
}

Test(membership, gateways_learn_of_all_remote_gateways) {
  MembershipHarness harness(kSeed);
  for (int i = 0; i < 24; ++i) {
    harness.Start("n" + std::to_string(10 + i), "dc" + std::to_string(i % 4),
                  1);
  }
  // Nodes that were gateways only in the first seconds, when few members were
  // known, must have timed out.
  harness.Run(seconds(100));
  cr_assert(AllCountLive(harness, 6));
  for (auto& [name, node] : harness.nodes()) {
    if (node.core->IsGateway()) {
      cr_assert(node.core->RemoteGateways(harness.now()).size() == 6);
    }
  }
}

Test(membership, malformed_payloads_are_ignored) {
  MembershipHarness harness(kSeed);
  StartNodes(harness, 4);
  const auto history = harness.history();
  const auto before = harness.node("n10").core->table().view_hash();
  for (const auto& [to, envelope] : history) {
    NodeEnvelope truncated = envelope;
    truncated.payload.resize(truncated.payload.size() / 2);
    harness.Deliver("n10", truncated);
    truncated.payload.assign(64, '\xff');
    harness.Deliver("n10", truncated);
  }
  cr_assert(harness.node("n10").core->table().view_hash() == before);
}
