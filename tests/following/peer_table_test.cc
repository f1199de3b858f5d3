#include "following/peer_table.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::seconds;

const TimePoint kNow(seconds(100));
constexpr Duration kSilence = std::chrono::milliseconds(1500);
const SocketAddress kAddress{.ip = "10.0.0.2", .port = 7600};
const NodeEntry kOwnEntry{
    .address = SocketAddress{.ip = "10.0.0.1", .port = 7600},
    .data_center = DataCenterName("one")};

NodeDigest MakeDigest(uint64_t incarnation, uint64_t sequence) {
  return NodeDigest{.node = NodeId("b"),
                    .incarnation = incarnation,
                    .sequence = sequence,
                    .holds_duty = true,
                    .work = {EndpointWork{.endpoint_key = 7, .requests = 3}}};
}

}  // namespace

Test(peer_table, ignores_silent_nodes_and_older_digests) {
  PeerTable table(NodeId("a"), kOwnEntry);
  cr_assert(table.ApplyDigest(MakeDigest(1, 5), kAddress, kNow));
  cr_assert(!table.ApplyDigest(MakeDigest(1, 4), kAddress, kNow));
  cr_assert(table.ApplyDigest(MakeDigest(2, 1), kAddress, kNow));
  cr_assert(!table.ApplyDigest(MakeDigest(1, 6), kAddress, kNow));
  cr_assert(table.WorkAt(7).requests == 3);
  cr_assert(table.DutyHolder());
  table.Step(kNow + seconds(2), kSilence, kSilence);
  cr_assert(table.WorkAt(7).requests == 0);
  cr_assert(!table.DutyHolder());
  cr_assert(table.HeardCount() == 0);
}

Test(peer_table, accepts_a_restarted_node_with_its_clock_set_back) {
  PeerTable table(NodeId("a"), kOwnEntry);
  table.ApplyDigest(MakeDigest(2000, 50), kAddress, kNow);
  cr_assert(!table.ApplyDigest(MakeDigest(1000, 1), kAddress, kNow));
  table.Step(kNow + seconds(2), kSilence, kSilence);
  cr_assert(
      table.ApplyDigest(MakeDigest(1000, 2), kAddress, kNow + seconds(2)));
  cr_assert(table.HeardCount() == 1);
}

Test(peer_table, nodes_of_a_data_centre_agree_on_an_order) {
  PeerTable table(NodeId("c"), kOwnEntry);
  for (const char* name : {"a", "b", "d"}) {
    NodeDigest digest = MakeDigest(1, 1);
    digest.node = NodeId(name);
    digest.data_center = DataCenterName("one");
    digest.reaches_store = true;
    table.ApplyDigest(digest, kAddress, kNow);
  }
  NodeDigest elsewhere = MakeDigest(1, 1);
  elsewhere.node = NodeId("b2");
  elsewhere.data_center = DataCenterName("two");
  elsewhere.reaches_store = true;
  table.ApplyDigest(elsewhere, kAddress, kNow);
  cr_assert(table.CountHigherRanked() == 2);
  // Silent nodes are not counted, so the next one takes over.
  table.Step(kNow + seconds(2), kSilence, kSilence);
  cr_assert(table.CountHigherRanked() == 0);
}

Test(peer_table, a_node_does_not_count_itself) {
  PeerTable table(NodeId("b"), kOwnEntry);
  cr_assert(!table.ApplyDigest(MakeDigest(1, 5), kAddress, kNow));
  table.ApplyEntry(NodeId("b"), kOwnEntry);
  cr_assert(table.peers().empty());
}

Test(peer_table, a_digest_round_trips_and_malformed_bytes_are_rejected) {
  const NodeDigest digest = MakeDigest(3, 9);
  const std::string bytes = EncodeMessage(digest);
  cr_assert(DecodeMessage<NodeDigest>(bytes) == digest);
  for (size_t size = 0; size < bytes.size(); ++size) {
    cr_assert(!DecodeMessage<NodeDigest>(bytes.substr(0, size)));
  }
  cr_assert(!DecodeMessage<NodeDigest>(bytes + "x"));
}

Test(peer_table, a_node_that_the_store_rejects_is_not_counted) {
  PeerTable table(NodeId("c"), kOwnEntry);
  NodeDigest digest = MakeDigest(1, 1);
  digest.data_center = DataCenterName("one");
  digest.reaches_store = true;
  table.ApplyDigest(digest, kAddress, kNow);
  cr_assert(table.CountHigherRanked() == 1);
  digest.sequence = 2;
  digest.reaches_store = false;
  table.ApplyDigest(digest, kAddress, kNow);
  cr_assert(table.CountHigherRanked() == 0);
}

Test(peer_table, an_entry_round_trips_and_malformed_text_is_rejected) {
  const NodeEntry entry{.address = kAddress,
                        .data_center = DataCenterName("one"),
                        .link_megabits = 200};
  cr_assert(ParseNodeEntry(FormatNodeEntry(entry)) == entry);
  for (const char* text : {"", "10.0.0.2:7600", "10.0.0.2:7600 one", "x y 3",
                           "10.0.0.2:7600 one many"}) {
    cr_assert(!ParseNodeEntry(text));
  }
}

Test(peer_table, histories_of_a_node_never_go_back_within_one_start) {
  PeerTable table(NodeId("a"), kOwnEntry);
  const FollowedHistories first{.node = NodeId("b"), .incarnation = 5};
  cr_assert(!table.ApplyHistories(first));
  table.ApplyDigest(MakeDigest(5, 1), kAddress, kNow);
  FollowedHistories later = first;
  later.config = 2;
  cr_assert(table.ApplyHistories(first));
  cr_assert(table.ApplyHistories(later));
  cr_assert(!table.ApplyHistories(first));
  cr_assert(table.peers().at(NodeId("b")).histories == later);
  // The node restarted with its clock set back.
  table.Step(kNow + seconds(2), kSilence, kSilence);
  table.ApplyDigest(MakeDigest(4, 1), kAddress, kNow + seconds(2));
  const FollowedHistories restarted{.node = NodeId("b"), .incarnation = 4};
  cr_assert(table.ApplyHistories(restarted));
}

Test(followed_histories, round_trip_and_malformed_bytes_are_rejected) {
  const FollowedHistories histories{.node = NodeId("b"),
                                    .incarnation = 7,
                                    .config = 3,
                                    .endpoints = 2,
                                    .nodes = 1};
  const std::string bytes = EncodeMessage(histories);
  cr_assert(DecodeMessage<FollowedHistories>(bytes) == histories);
  cr_assert(!DecodeMessage<FollowedHistories>(bytes + "x"));
  cr_assert(!DecodeMessage<FollowedHistories>(bytes.substr(1)));
}
