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

// Bytes of snapshots that a relay has exchanged with peers since the start.
struct RelayTraffic {
  uint64_t served_bytes = 0;
  // Of complete snapshots.
  uint64_t fetched_bytes = 0;
  // Of snapshots that did not arrive in full.
  uint64_t wasted_bytes = 0;

  friend auto operator<=>(const RelayTraffic&, const RelayTraffic&) = default;
};

// Serves snapshots of this node's followed prefixes to peers, and fetches
// theirs. Nodes that the store rejects are kept up to date this way.
class SnapshotRelay {
 public:
  SnapshotRelay(EventLoop& loop, const Clock& clock)
      : m_loop(loop), m_clock(clock) {}

  // Called with a snapshot that was fetched, after the follower has received it
  // and whether or not it was newer.
  using SnapshotObserver = std::function<void(const PrefixSnapshot& snapshot)>;

  void AddFollower(
      std::string name,
      PrefixFollower& follower,
      SnapshotObserver observer = [](const PrefixSnapshot&) {});
  // Responds to a peer's request for a snapshot.
  void Serve(const ServerExchangePtr& exchange);
  // Fetches a follower's snapshot from `source`, unless a fetch is pending.
  void Fetch(const std::string& name, const SnapshotPeer& source);
  const RelayTraffic& traffic() const { return m_traffic; }

 private:
  struct Followed {
    PrefixFollower* follower;
    SnapshotObserver observer;
  };

  EventLoop& m_loop;
  const Clock& m_clock;
  std::map<std::string, Followed> m_followers;
  std::map<std::string, std::unique_ptr<PooledHttpClient>> m_pending;
  RelayTraffic m_traffic;
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
