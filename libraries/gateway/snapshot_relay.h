#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "base/clock.h"
#include "following/prefix_follower.h"
#include "following/snapshot_peer.h"
#include "http1/http_service.h"
#include "http1/pooled_http_client.h"

namespace pistachiowalk {

// Serves snapshots of this node's followed prefixes to peers, and fetches
// theirs. Nodes that the store rejects are kept up to date this way.
class SnapshotRelay {
 public:
  explicit SnapshotRelay(EventLoop& loop) : m_loop(loop) {}

  // Called with a snapshot that was fetched, after the follower has received it
  // and whether or not it was newer.
  using SnapshotObserver = std::function<void(const PrefixSnapshot& snapshot)>;

  void AddFollower(
      std::string name,
      PrefixFollower& follower,
      SnapshotObserver observer = [](const PrefixSnapshot&) {});
  // Responds to a peer's request for a snapshot.
  void Serve(const ServerExchangePtr& exchange) const;
  // Fetches a follower's snapshot from `source`, unless a fetch is pending.
  void Fetch(const std::string& name, const SnapshotPeer& source);

 private:
  struct Followed {
    PrefixFollower* follower;
    SnapshotObserver observer;
  };

  EventLoop& m_loop;
  std::map<std::string, Followed> m_followers;
  std::map<std::string, std::unique_ptr<PooledHttpClient>> m_pending;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

// Whether an encoded snapshot names the history of the store; nodes of earlier
// builds send and understand only those that do not.
enum class SnapshotFormat { kWithoutHistory, kWithHistory };

std::string EncodePrefixSnapshot(const PrefixSnapshot& snapshot,
                                 SnapshotFormat format);
std::optional<PrefixSnapshot> DecodePrefixSnapshot(std::string_view bytes,
                                                   SnapshotFormat format);

}  // namespace pistachiowalk
