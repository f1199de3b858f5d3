#include "following/snapshot_peer.h"

#include <algorithm>
#include <tuple>

namespace pistachiowalk {
namespace {

// Draws a peer with a probability in proportion to its link.
SnapshotPeer DrawByLink(const std::vector<SnapshotPeer>& peers,
                        std::mt19937_64& random) {
  std::vector<double> weights;
  weights.reserve(peers.size());
  for (const SnapshotPeer& peer : peers) {
    weights.push_back(std::max<uint32_t>(peer.link_megabits, 1));
  }
  return peers[std::discrete_distribution<size_t>(weights.begin(),
                                                  weights.end())(random)];
}

// Draws one of the candidates with the highest `rank`.
template <class RankOf>
SnapshotPeer DrawHighest(const std::vector<SnapshotPeer>& candidates,
                         RankOf rank_of,
                         std::mt19937_64& random) {
  auto highest = rank_of(candidates.front());
  for (const SnapshotPeer& peer : candidates) {
    highest = std::max(highest, rank_of(peer));
  }
  std::vector<SnapshotPeer> best;
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(best),
      [&](const SnapshotPeer& peer) { return rank_of(peer) == highest; });
  return DrawByLink(best, random);
}

}  // namespace

std::optional<SnapshotPeer> ChooseSnapshotPeer(
    const std::vector<SnapshotPeer>& candidates,
    StorePosition as_of,
    std::mt19937_64& random) {
  const bool is_behind = std::any_of(
      candidates.begin(), candidates.end(),
      [&](const SnapshotPeer& peer) { return peer.newest_change > as_of; });
  if (!is_behind) {
    return std::nullopt;
  }
  return DrawHighest(
      candidates,
      [](const SnapshotPeer& peer) {
        return std::tuple(peer.newest_change, peer.is_in_own_data_center);
      },
      random);
}

std::optional<SnapshotPeer> ChooseConfigPeer(
    const std::vector<SnapshotPeer>& candidates,
    uint64_t version,
    std::mt19937_64& random) {
  const bool is_behind = std::any_of(
      candidates.begin(), candidates.end(),
      [&](const SnapshotPeer& peer) { return peer.config_version > version; });
  if (!is_behind) {
    return std::nullopt;
  }
  return DrawHighest(
      candidates,
      [](const SnapshotPeer& peer) {
        return std::tuple(peer.config_version, peer.newest_change,
                          peer.is_in_own_data_center);
      },
      random);
}

}  // namespace pistachiowalk
