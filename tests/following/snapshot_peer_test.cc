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

Test(state_holder, a_node_that_lacks_nothing_asks_nobody) {
  cr_assert(!ChooseSnapshotPeer({}, 5));
  cr_assert(
      !ChooseSnapshotPeer({MakePeer(5, true, 200), MakePeer(4, true, 10)}, 5));
}

// Both nodes of a data centre that watch the store were turned away by it while
// a key was revoked; only other data centres had seen the change.
Test(state_holder, a_change_that_only_distant_nodes_have_seen_is_asked_for) {
  const auto peer =
      ChooseSnapshotPeer({MakePeer(5, true, 200), MakePeer(9, false, 10)}, 5);
  cr_assert(peer && peer->newest_change == 9);
}

Test(state_holder, of_equals_a_near_node_on_a_wide_link_is_asked) {
  const auto peer =
      ChooseSnapshotPeer({MakePeer(9, false, 200), MakePeer(9, true, 10),
                          MakePeer(9, true, 200), MakePeer(8, true, 400)},
                         5);
  cr_assert(peer == MakePeer(9, true, 200));
}
