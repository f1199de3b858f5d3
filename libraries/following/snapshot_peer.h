#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "http1/socket_address.h"
#include "store/store_position.h"

namespace pistachiowalk {

// A peer that follows the same prefix, as a source of a snapshot.
struct SnapshotPeer {
  // Position of the newest change that the peer has seen.
  StorePosition newest_change;
  bool is_in_own_data_center = false;
  uint32_t link_megabits = 0;
  SocketAddress address;
  // The peer names histories; one of an earlier build does not.
  bool names_histories = false;
  // Of its config in force; 0 if unknown.
  uint64_t config_version = 0;

  friend auto operator<=>(const SnapshotPeer&, const SnapshotPeer&) = default;
};

// Chooses the peer from which a node that has applied all changes up to `as_of`
// fetches a snapshot: one with the newest change, in the own data centre if
// there is any. Nodes that lack the same change spread over such peers in
// proportion to their links. nullopt if no peer has seen a change that the node
// lacks.
//
// Keeps nodes up to date that the store rejects, or whose watch connection is
// dead, while other nodes still receive changes.
std::optional<SnapshotPeer> ChooseSnapshotPeer(
    const std::vector<SnapshotPeer>& candidates,
    StorePosition as_of,
    std::mt19937_64& random);

// Chooses the peer from which a node with the config `version` in force fetches
// a config: one with the highest version, and among these as above. nullopt if
// no peer has a higher one.
//
// The operator's versions only increase, so they order configs even where
// positions do not: a store that was restored from a copy may give a node that
// has just started an older config than its peers have in force.
std::optional<SnapshotPeer> ChooseConfigPeer(
    const std::vector<SnapshotPeer>& candidates,
    uint64_t version,
    std::mt19937_64& random);

}  // namespace pistachiowalk
