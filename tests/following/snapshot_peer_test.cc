#include "following/snapshot_peer.h"

#include <map>
#include <random>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr uint64_t kSeed = 5;

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
  std::mt19937_64 random(kSeed);
  cr_assert(!ChooseSnapshotPeer({}, At(5), random));
  cr_assert(!ChooseSnapshotPeer({MakePeer(5, true, 200), MakePeer(4, true, 10)},
                                At(5), random));
}

// Regression test: the store rejected both watching nodes of a data centre
// while a key was revoked, and only other data centres had received the change.
Test(snapshot_peer, chooses_a_remote_peer_if_only_it_has_a_change) {
  std::mt19937_64 random(kSeed);
  const auto peer = ChooseSnapshotPeer(
      {MakePeer(5, true, 200), MakePeer(9, false, 10)}, At(5), random);
  cr_assert(peer && peer->newest_change == At(9));
}

Test(snapshot_peer, nodes_that_lack_a_change_all_ask_one_peer) {
  constexpr int kNodes = 2200;
  std::mt19937_64 random(kSeed);
  SnapshotPeer other = MakePeer(9, true, 10);
  other.address.port = 7601;
  std::map<SnapshotPeer, int> asked;
  for (int node = 0; node < kNodes; ++node) {
    const auto peer = ChooseSnapshotPeer(
        {MakePeer(9, false, 200), MakePeer(9, true, 10), other,
         MakePeer(9, true, 200), MakePeer(8, true, 400)},
        At(5), random);
    cr_assert(peer && peer->newest_change == At(9) &&
              peer->is_in_own_data_center);
    ++asked[*peer];
  }
  cr_assert_eq(asked.size(), 3);
  // In proportion to the links: 200, 10 and 10 of 220.
  cr_assert_geq(asked[MakePeer(9, true, 200)], 1900);
  cr_assert_geq(asked[MakePeer(9, true, 10)], 60);
  cr_assert_geq(asked[other], 60);
}

Test(snapshot_peer, a_later_history_goes_before_a_higher_revision) {
  std::mt19937_64 random(kSeed);
  SnapshotPeer restored = MakePeer(3, false, 10);
  restored.newest_change = At(3, 2);
  cr_assert(ChooseSnapshotPeer({MakePeer(900, true, 200), restored}, At(900),
                               random) == restored);
  cr_assert(!ChooseSnapshotPeer({MakePeer(900, true, 200)}, At(3, 2), random));
}

// A restored store has an older config than the other nodes have in force.
Test(snapshot_peer, a_node_that_starts_takes_the_newest_config_of_its_peers) {
  std::mt19937_64 random(kSeed);
  SnapshotPeer older = MakePeer(900, true, 200);
  older.config_version = 12;
  SnapshotPeer newer = MakePeer(3, false, 10);
  newer.config_version = 18;
  cr_assert(ChooseConfigPeer({older, newer}, 16, random) == newer);
  cr_assert(!ChooseConfigPeer({older, newer}, 18, random));
  cr_assert(!ChooseConfigPeer({}, 0, random));
}
