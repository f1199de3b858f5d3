#include "following/snapshot_peer.h"

#include <algorithm>
#include <tuple>

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

std::optional<SnapshotPeer> ChooseConfigPeer(
    const std::vector<SnapshotPeer>& candidates,
    uint64_t version) {
  const auto best = std::max_element(
      candidates.begin(), candidates.end(),
      [](const SnapshotPeer& a, const SnapshotPeer& b) {
        return std::tie(a.config_version, a) < std::tie(b.config_version, b);
      });
  if (best == candidates.end() || best->config_version <= version) {
    return std::nullopt;
  }
  return *best;
}

}  // namespace pistachiowalk
