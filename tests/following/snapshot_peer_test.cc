#include "following/snapshot_peer.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

SnapshotPeer MakePeer(StoreRevision newest_change,
                      bool is_in_own_data_center,
                      uint32_t link_megabits) {
  return SnapshotPeer{.newest_change = newest_change,
                      .is_in_own_data_center = is_in_own_data_center,
                      .link_megabits = link_megabits,
                      .address = SocketAddress{.ip = "10.0.0.1", .port = 7600}};
}

}  // namespace

Test(snapshot_peer, an_up_to_date_node_fetches_nothing) {
  cr_assert(!ChooseSnapshotPeer({}, 5));
  cr_assert(
      !ChooseSnapshotPeer({MakePeer(5, true, 200), MakePeer(4, true, 10)}, 5));
}

// Regression test: the store rejected both watching nodes of a data centre
// while a key was revoked, and only other data centres had received the change.
Test(snapshot_peer, chooses_a_remote_peer_if_only_it_has_a_change) {
  const auto peer =
      ChooseSnapshotPeer({MakePeer(5, true, 200), MakePeer(9, false, 10)}, 5);
  cr_assert(peer && peer->newest_change == 9);
}

Test(snapshot_peer, prefers_the_own_data_centre_then_the_wider_link) {
  const auto peer =
      ChooseSnapshotPeer({MakePeer(9, false, 200), MakePeer(9, true, 10),
                          MakePeer(9, true, 200), MakePeer(8, true, 400)},
                         5);
  cr_assert(peer == MakePeer(9, true, 200));
}
