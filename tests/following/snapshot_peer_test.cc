#include "following/snapshot_peer.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

StorePosition At(StoreRevision revision, StoreHistory history = 1) {
  return StorePosition{.history = history, .revision = revision};
}

SnapshotPeer MakePeer(StoreRevision newest_change,
                      bool is_in_own_data_center,
                      uint32_t link_megabits) {
  return SnapshotPeer{.newest_change = At(newest_change),
                      .is_in_own_data_center = is_in_own_data_center,
                      .link_megabits = link_megabits,
                      .address = SocketAddress{.ip = "10.0.0.1", .port = 7600}};
}

}  // namespace

Test(snapshot_peer, an_up_to_date_node_fetches_nothing) {
  cr_assert(!ChooseSnapshotPeer({}, At(5)));
  cr_assert(!ChooseSnapshotPeer({MakePeer(5, true, 200), MakePeer(4, true, 10)},
                                At(5)));
}

// Regression test: the store rejected both watching nodes of a data centre
// while a key was revoked, and only other data centres had received the change.
Test(snapshot_peer, chooses_a_remote_peer_if_only_it_has_a_change) {
  const auto peer = ChooseSnapshotPeer(
      {MakePeer(5, true, 200), MakePeer(9, false, 10)}, At(5));
  cr_assert(peer && peer->newest_change == At(9));
}

Test(snapshot_peer, prefers_the_own_data_centre_then_the_wider_link) {
  const auto peer =
      ChooseSnapshotPeer({MakePeer(9, false, 200), MakePeer(9, true, 10),
                          MakePeer(9, true, 200), MakePeer(8, true, 400)},
                         At(5));
  cr_assert(peer == MakePeer(9, true, 200));
}

Test(snapshot_peer, a_later_history_goes_before_a_higher_revision) {
  SnapshotPeer restored = MakePeer(3, false, 10);
  restored.newest_change = At(3, 2);
  cr_assert(ChooseSnapshotPeer({MakePeer(900, true, 200), restored}, At(900)) ==
            restored);
  cr_assert(!ChooseSnapshotPeer({MakePeer(900, true, 200)}, At(3, 2)));
}

// A restored store has an older config than the other nodes have in force.
Test(snapshot_peer, a_node_that_starts_takes_the_newest_config_of_its_peers) {
  SnapshotPeer older = MakePeer(900, true, 200);
  older.config_version = 12;
  SnapshotPeer newer = MakePeer(3, false, 10);
  newer.config_version = 18;
  cr_assert(ChooseConfigPeer({older, newer}, 16) == newer);
  cr_assert(!ChooseConfigPeer({older, newer}, 18));
  cr_assert(!ChooseConfigPeer({}, 0));
}
