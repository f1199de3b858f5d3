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

// Outcome of checking a bundle's signatures and text.
struct BundleVerification {
  // nullptr when refused; `error` says why.
  std::shared_ptr<const Bundle> bundle;
  std::shared_ptr<const SignedBundle> envelope;
  std::string error;
};

// Checks signatures and text; a pure function of its argument.
using BundleVerifier = std::function<BundleVerification(SignedBundle)>;

// The nodes to speak with, as the membership sees them now.
struct ReplicationPeers {
  // Live nodes of this data centre in order of name, this one included.
  std::vector<NodeId> local;
  // The nodes of this data centre that watch the store, best first.
  std::vector<NodeId> watchers;
  // Nodes that speak for other data centres.
  std::vector<NodeId> remote;
  // About how many nodes of all data centres watch the store.
  size_t total_watchers = 1;

  friend auto operator<=>(const ReplicationPeers&,
                          const ReplicationPeers&) = default;
};

// Brings every accepted bundle in force on this node and passes it on: two
// watchers a data centre follow the store, a tree over the data centre's
// nodes carries each change as a delta, offers between random nodes find and
// repair what was missed. A version in force is only ever replaced by a
// higher one. A core without I/O: events and the time come in, commands go
// out.
class BundleReplicator {
 public:
  BundleReplicator(NodeId self,
                   BundleVerifier verify,
                   uint64_t seed,
                   TimePoint now);

  // Call every kBundleReplicatorTickInterval.
  void Tick(TimePoint now, BundleReplicatorCommands& commands);
  // Takes in how the membership sees the nodes.
  void SetPeers(const ReplicationPeers& peers);
  // Takes in an authenticated message of a bundle kind.
  void Receive(const NodeEnvelope& envelope,
               TimePoint now,
               BundleReplicatorCommands& commands);
  // Answer to WatchBundle or ReadBundleSnapshot. `call` is the command's.
  void OnStoreAnswer(uint64_t call,
                     const StoreResult& result,
                     TimePoint now,
                     BundleReplicatorCommands& commands);

  // 0 before the first bundle is in force.
  BundleVersion version() const { return m_version; }
  uint64_t hash() const { return m_hash; }
  bool IsWatcher() const { return WatcherRank().has_value(); }
  // When the store last answered; the epoch if it never did.
  TimePoint store_heard_at() const { return m_store_heard_at; }
  // Bytes that this core keeps, the text in force included.
  size_t StateBytes() const;

 private:
  struct PendingOffer {
    NodeId from;
    BundleVersion version = 0;
    TimePoint since;
  };
  // A bundle of the store that this watcher holds back for the first one.
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

  // `chain` are the steps that built the bundle's text; none if it came whole.
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
  // The watcher that read this version from the store.
  NodeId m_broadcast_root;
  // Steps between the latest versions in force, oldest first.
  std::deque<VersionDelta> m_history;
  size_t m_history_bytes = 0;

  StoreRateLimiter m_rate_limiter;
  StoreRevision m_revision = 0;
  uint64_t m_last_call = 0;
  // The waiting watch and the snapshot being read; 0 is none.
  uint64_t m_watch_call = 0;
  uint64_t m_snapshot_call = 0;
  TimePoint m_call_deadline;
  TimePoint m_next_watch;
  TimePoint m_store_heard_at;
  std::optional<StoredBundle> m_awaiting_snapshot;
  std::optional<DeferredAnswer> m_deferred_answer;

  TimePoint m_started_at;
  TimePoint m_next_offer;
  TimePoint m_next_remote_offer;
  TimePoint m_next_join;
  TimePoint m_next_request;
  std::optional<PendingOffer> m_pending_remote_offer;
  // The best offer to a node that has no bundle yet.
  std::optional<PendingOffer> m_best_join_offer;
};

}  // namespace pistachiowalk
