#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "base/clock.h"
#include "following/prefix_follower.h"
#include "following/snapshot_peer.h"
#include "following/transfer_admission.h"
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
  // `link_megabits` is this node's bandwidth in Mbit/s, 0 if unknown.
  SnapshotRelay(EventLoop& loop, const Clock& clock, uint32_t link_megabits)
      : m_loop(loop), m_clock(clock), m_admission(link_megabits) {}

  // Called with the items of a whole snapshot that was fetched, after the
  // follower has received it and whether or not it was newer.
  using SnapshotObserver =
      std::function<void(const std::vector<StoreItem>& items)>;

  void AddFollower(
      std::string name,
      PrefixFollower& follower,
      SnapshotObserver observer = [](const std::vector<StoreItem>&) {});
  // `handler` is called shortly after a peer has refused a transfer, so that
  // another one is asked.
  void SetRefusedHandler(std::function<void()> handler) {
    m_refused = std::move(handler);
  }
  // Whether the peer has just refused a transfer, as its link is busy.
  bool IsBusy(const SocketAddress& peer) const;
  // Responds to a peer's request for a snapshot, or refuses it while this
  // node's link is busy.
  void Serve(const ServerExchangePtr& exchange);
  // Fetches the changes that a follower lacks from `source`, or a whole
  // snapshot if the changes are not known there, unless a fetch is pending.
  void Fetch(const std::string& name, const SnapshotPeer& source);
  const RelayTraffic& traffic() const { return m_traffic; }

 private:
  struct Followed {
    PrefixFollower* follower;
    SnapshotObserver observer;
    // The last changes that were fetched did not fit the follower's items.
    bool needs_whole = false;
  };
  // What is asked of a peer. Nodes of earlier builds know only snapshots, or
  // only those without the store's history.
  enum class Form { kChanges, kSnapshot, kSnapshotWithoutHistory };

  Form ChooseForm(const Followed& followed, const SnapshotPeer& source) const;
  // Applies the response to a request of `form`. Returns false if it is of no
  // use.
  bool Apply(Followed& followed, Form form, const std::string& body);
  void OnResponse(const std::string& name,
                  Form form,
                  const SocketAddress& peer,
                  Duration elapsed,
                  const HttpClientResponse& response);

  EventLoop& m_loop;
  const Clock& m_clock;
  std::map<std::string, Followed> m_followers;
  std::map<std::string, std::unique_ptr<PooledHttpClient>> m_pending;
  // Peers of earlier builds, and when they were last found to be.
  std::map<SocketAddress, TimePoint> m_peers_without_changes;
  std::map<SocketAddress, TimePoint> m_busy_peers;
  TransferAdmission m_admission;
  std::function<void()> m_refused = [] {};
  RelayTraffic m_traffic;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
