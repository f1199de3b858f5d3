#include "following/snapshot_peer.h"

#include <algorithm>

namespace pistachiowalk {

std::optional<SnapshotPeer> ChooseSnapshotPeer(
    const std::vector<SnapshotPeer>& candidates,
    StorePosition as_of) {
  const auto best = std::max_element(candidates.begin(), candidates.end());
  if (best == candidates.end() || best->newest_change <= as_of) {
    return std::nullopt;
  }
  return *best;
}

}  // namespace pistachiowalk
