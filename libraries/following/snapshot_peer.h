#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "http1/socket_address.h"
#include "store/store_port.h"

namespace pistachiowalk {

// A peer that follows the same state.
struct SnapshotPeer {
  // The newest change that it has seen.
  StoreRevision newest_change = 0;
  bool is_in_own_data_center = false;
  uint32_t link_megabits = 0;
  SocketAddress address;

  friend auto operator<=>(const SnapshotPeer&, const SnapshotPeer&) = default;
};

// The peer to ask by a node that knows all changes up to `as_of`: the one that
// has seen the newest change, and of equals one that is near, on a wide link.
// nullopt when none has seen a change that the node lacks.
//
// Answers nodes that the store turns away, or whose watches have gone silent,
// while others hear of changes.
std::optional<SnapshotPeer> ChooseSnapshotPeer(
    const std::vector<SnapshotPeer>& candidates,
    StoreRevision as_of);

}  // namespace pistachiowalk
