#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bundle/bundle_message.h"
#include "bundle/bundle_replicator_command.h"
#include "bundle/stored_bundle.h"
#include "membership/node_envelope.h"
#include "store/store_port.h"
#include "store/store_rate_limiter.h"

namespace pistachiowalk {

constexpr Duration kBundleReplicatorTickInterval =
    std::chrono::milliseconds(100);
constexpr std::chrono::milliseconds kBundleWatchWait{20000};

// Result of verifying a bundle's signatures and text.
struct BundleVerification {
  // nullptr if the bundle is invalid; `error` then has the reason.
  std::shared_ptr<const Bundle> bundle;
  std::shared_ptr<const SignedBundle> envelope;
  std::string error;
};

// Verifies signatures and text. Must be a pure function of its argument.
using BundleVerifier = std::function<BundleVerification(SignedBundle)>;

// The nodes to replicate with, from the membership's current view.
struct ReplicationPeers {
  // Live nodes of this data centre, including this one, sorted by name.
  std::vector<NodeId> local;
  // The nodes of this data centre that watch the store, highest rank first.
  std::vector<NodeId> watchers;
  // Gateways of other data centres.
  std::vector<NodeId> remote;
  // Approximate number of nodes in all data centres that watch the store.
  size_t total_watchers = 1;

  friend auto operator<=>(const ReplicationPeers&,
                          const ReplicationPeers&) = default;
};

// Replicates accepted bundles to this node and onwards to others. Two watchers
// per data centre follow the store. Each change is pushed as a delta along a
// broadcast tree over the data centre's nodes. Offers between random nodes
// (anti-entropy) detect and repair missed changes. The active version is only
// replaced by a higher one. Does no I/O itself: it takes events and the current
// time and returns commands.
class BundleReplicator {
 public:
  BundleReplicator(NodeId self,
                   BundleVerifier verify,
                   uint64_t seed,
                   TimePoint now);

  // Must be called every kBundleReplicatorTickInterval.
  void Tick(TimePoint now, BundleReplicatorCommands& commands);
  // Updates the nodes to replicate with.
  void SetPeers(const ReplicationPeers& peers);
  // Handles an authenticated message. Kinds other than the bundle's are
  // ignored.
  void Receive(const NodeEnvelope& envelope,
               TimePoint now,
               BundleReplicatorCommands& commands);
  // Handles the answer to the WatchBundle or ReadBundleSnapshot command with
  // the same `call`.
  void OnStoreAnswer(uint64_t call,
                     const StoreResult& result,
                     TimePoint now,
                     BundleReplicatorCommands& commands);

  // Version of the active bundle; 0 if there is none yet.
  BundleVersion version() const { return m_version; }
  uint64_t hash() const { return m_hash; }
  bool IsWatcher() const { return WatcherRank().has_value(); }
  // Time of the store's last successful answer; the epoch if there was none.
  TimePoint last_store_answer() const { return m_last_store_answer; }
  // Approximate memory used by this object, including the active text, in
  // bytes.
  size_t StateBytes() const;

 private:
  struct PendingOffer {
    NodeId from;
    BundleVersion version = 0;
    TimePoint since;
  };
  // A stored bundle that this secondary watcher processes later, so that the
  // primary one's push can arrive first.
  struct DeferredAnswer {
    std::string value;
    TimePoint due;
  };

  std::optional<size_t> WatcherRank() const;
  bool IsLocal(const NodeId& node) const;

  void WatchStore(TimePoint now, BundleReplicatorCommands& commands);
  void ProcessDeferredAnswer(TimePoint now, BundleReplicatorCommands& commands);
  void OfferToPeers(TimePoint now, BundleReplicatorCommands& commands);
  void Join(TimePoint now, BundleReplicatorCommands& commands);
  void RequestFromRemotePeer(TimePoint now, BundleReplicatorCommands& commands);

  void OnOffer(const NodeId& from,
               const BundleOfferMessage& message,
               TimePoint now,
               BundleReplicatorCommands& commands);
  void OnRequest(const NodeId& from,
                 const BundleRequestMessage& message,
                 BundleReplicatorCommands& commands);
  void OnContent(const NodeId& from,
                 const BundleContentMessage& message,
                 TimePoint now,
                 BundleReplicatorCommands& commands);
  void OnStoredBundle(const std::string& value,
                      TimePoint now,
                      BundleReplicatorCommands& commands);
  void OnSnapshot(const StoreResult& result,
                  TimePoint now,
                  BundleReplicatorCommands& commands);

  // Verifies a bundle, activates it if it is newer and forwards it. `chain` has
  // the deltas from which its text was built; empty if it arrived complete.
  void Adopt(SignedBundle bundle,
             const std::vector<VersionDelta>& chain,
             BundleSource source,
             TimePoint now,
             BundleReplicatorCommands& commands);
  void RecordHistory(const std::vector<VersionDelta>& chain,
                     const SignedBundle& next,
                     uint64_t hash);
  void PushToChildren(uint64_t base_hash, BundleReplicatorCommands& commands);
  void Request(const NodeId& from,
               TimePoint now,
               BundleReplicatorCommands& commands);
  void SendOffer(const NodeId& to,
                 OfferReply reply,
                 BundleReplicatorCommands& commands);
  BundleContentMessage ContentSince(uint64_t base_hash) const;
  const NodeId* RandomPeer(const std::vector<NodeId>& nodes);

  NodeId m_self;
  BundleVerifier m_verify;
  std::mt19937_64 m_random;
  ReplicationPeers m_peers;

  BundleVersion m_version = 0;
  uint64_t m_hash = 0;
  std::shared_ptr<const SignedBundle> m_envelope;
  // Root of the broadcast tree: the watcher that read this version from the
  // store.
  NodeId m_broadcast_root;
  // Deltas between the latest active versions, oldest first.
  std::deque<VersionDelta> m_history;
  size_t m_history_bytes = 0;

  StoreRateLimiter m_rate_limiter;
  StoreRevision m_revision = 0;
  uint64_t m_last_call = 0;
  // The pending watch and the pending snapshot read; 0 if there is none.
  uint64_t m_watch_call = 0;
  uint64_t m_snapshot_call = 0;
  TimePoint m_call_deadline;
  TimePoint m_next_watch;
  TimePoint m_last_store_answer;
  std::optional<StoredBundle> m_awaiting_snapshot;
  std::optional<DeferredAnswer> m_deferred_answer;

  TimePoint m_started_at;
  TimePoint m_next_offer;
  TimePoint m_next_remote_offer;
  TimePoint m_next_join;
  TimePoint m_next_request;
  std::optional<PendingOffer> m_pending_remote_offer;
  // The highest version offered while this node has no bundle.
  std::optional<PendingOffer> m_best_join_offer;
};

}  // namespace pistachiowalk
