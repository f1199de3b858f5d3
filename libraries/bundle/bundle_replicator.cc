#include "bundle/bundle_replicator.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "bundle/broadcast_tree.h"

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

constexpr Duration kOfferInterval = milliseconds(500);
constexpr Duration kRemoteOfferInterval = milliseconds(2000);
// Delay before a newer version is requested from another data centre. Traffic
// between regions is charged by volume, and the store usually delivers the
// version sooner.
constexpr Duration kRemoteRequestDelay = milliseconds(1500);
// How long a node without a bundle collects offers, so that a lagging peer does
// not give it an older version than it had before its restart.
constexpr Duration kJoinOfferWindow = milliseconds(1000);
constexpr Duration kJoinTimeout = milliseconds(4000);
constexpr Duration kJoinInterval = milliseconds(300);
constexpr size_t kJoinOffers = 5;
// Delay after which the secondary watcher processes a change itself; normally
// the primary watcher's push arrives within it.
constexpr Duration kSecondaryWatcherDelay = milliseconds(700);
// Changes in quicker succession are picked up by one watch.
constexpr Duration kMinimumWatchInterval = milliseconds(400);
// A store call is abandoned when it exceeds its expected time by this margin.
constexpr Duration kCallTimeoutMargin = milliseconds(5000);
constexpr size_t kMaximumHistoryBytes = 64 * 1024;
// A larger change is offered instead of pushed, so that no node receives it
// twice.
constexpr size_t kMaximumPushBytes = 16 * 1024;

}  // namespace

BundleReplicator::BundleReplicator(NodeId self,
                                   BundleVerifier verify,
                                   uint64_t seed,
                                   TimePoint now)
    : m_self(std::move(self)),
      m_verify(std::move(verify)),
      m_random(seed),
      m_rate_limiter(now),
      m_started_at(now) {
  const auto within = [this, now](Duration interval) {
    return now + Duration(std::uniform_int_distribution<Duration::rep>(
                     0, interval.count())(m_random));
  };
  m_next_offer = within(kOfferInterval);
  m_next_remote_offer = within(kRemoteOfferInterval);
  m_next_join = now;
}

void BundleReplicator::SetPeers(const ReplicationPeers& peers) {
  m_peers = peers;
}

std::optional<size_t> BundleReplicator::WatcherRank() const {
  const auto it =
      std::find(m_peers.watchers.begin(), m_peers.watchers.end(), m_self);
  if (it == m_peers.watchers.end()) {
    return std::nullopt;
  }
  return static_cast<size_t>(it - m_peers.watchers.begin());
}

bool BundleReplicator::IsLocal(const NodeId& node) const {
  return std::binary_search(m_peers.local.begin(), m_peers.local.end(), node);
}

const NodeId* BundleReplicator::RandomPeer(const std::vector<NodeId>& nodes) {
  if (nodes.empty()) {
    return nullptr;
  }
  const size_t index =
      std::uniform_int_distribution<size_t>(0, nodes.size() - 1)(m_random);
  return nodes[index] == m_self ? nullptr : &nodes[index];
}

void BundleReplicator::Tick(TimePoint now, BundleReplicatorCommands& commands) {
  ProcessDeferredAnswer(now, commands);
  WatchStore(now, commands);
  RequestFromRemotePeer(now, commands);
  if (m_version == 0) {
    Join(now, commands);
  } else {
    OfferToPeers(now, commands);
  }
}

void BundleReplicator::WatchStore(TimePoint now,
                                  BundleReplicatorCommands& commands) {
  const bool is_call_pending = m_watch_call != 0 || m_snapshot_call != 0;
  if (is_call_pending && now >= m_call_deadline) {
    // The connection is unresponsive. A late answer is still processed, subject
    // to the usual version checks.
    m_watch_call = 0;
    m_snapshot_call = 0;
    m_awaiting_snapshot.reset();
    m_rate_limiter.RecordFailure(now, m_random);
    return;
  }
  if (is_call_pending || m_deferred_answer || !IsWatcher() ||
      now < m_next_watch ||
      !m_rate_limiter.TryAcquire(m_peers.total_watchers, now)) {
    return;
  }
  m_watch_call = ++m_last_call;
  m_call_deadline = now + kBundleWatchWait + kCallTimeoutMargin;
  commands.push_back(WatchBundle{m_revision, m_watch_call});
}

void BundleReplicator::OnStoreAnswer(uint64_t call,
                                     const StoreResult& result,
                                     TimePoint now,
                                     BundleReplicatorCommands& commands) {
  const bool is_snapshot = call == m_snapshot_call;
  const bool is_current = is_snapshot || call == m_watch_call;
  if (is_current) {
    m_snapshot_call = is_snapshot ? 0 : m_snapshot_call;
    m_watch_call = is_snapshot ? m_watch_call : 0;
  }
  if (result.status != StoreStatus::kOk) {
    if (is_current) {
      m_awaiting_snapshot.reset();
      m_rate_limiter.RecordFailure(now, m_random);
    }
    return;
  }
  m_rate_limiter.RecordSuccess();
  m_last_store_answer = now;
  if (is_snapshot) {
    OnSnapshot(result, now, commands);
    return;
  }
  if (result.revision <= m_revision) {
    return;
  }
  m_revision = result.revision;
  m_next_watch = now + kMinimumWatchInterval;
  // NOTE: A node without a bundle processes the answer immediately.
  if (WatcherRank().value_or(0) > 0 && m_version != 0) {
    m_deferred_answer =
        DeferredAnswer{result.value, now + kSecondaryWatcherDelay};
    return;
  }
  OnStoredBundle(result.value, now, commands);
}

void BundleReplicator::ProcessDeferredAnswer(
    TimePoint now,
    BundleReplicatorCommands& commands) {
  if (!m_deferred_answer || now < m_deferred_answer->due) {
    return;
  }
  const std::string value = std::move(m_deferred_answer->value);
  m_deferred_answer.reset();
  OnStoredBundle(value, now, commands);
}

void BundleReplicator::OnStoredBundle(const std::string& value,
                                      TimePoint now,
                                      BundleReplicatorCommands& commands) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(stored, ParseStoredBundle(value));
        if (stored.chain.empty()) {
          m_broadcast_root = m_self;
          Adopt({std::move(stored.text), std::move(stored.signatures)}, {},
                BundleSource::kStore, now, commands);
          return {};
        }
        if (stored.version <= m_version) {
          return {};
        }
        auto text = m_envelope
                        ? ApplyChain(m_envelope->text, m_hash, stored.chain)
                        : std::nullopt;
        if (text) {
          m_broadcast_root = m_self;
          Adopt({std::move(*text), std::move(stored.signatures)}, stored.chain,
                BundleSource::kStore, now, commands);
          return {};
        }
        m_snapshot_call = ++m_last_call;
        m_call_deadline = now + kCallTimeoutMargin;
        commands.push_back(
            ReadBundleSnapshot{stored.snapshot_key, m_snapshot_call});
        m_awaiting_snapshot = std::move(stored);
        return {};
      },
      [&](const BundleError& error) {
        commands.push_back(RejectBundle{BundleSource::kStore, error.detail});
      },
      [&] {
        commands.push_back(RejectBundle{BundleSource::kStore, "unknown"});
      });
}

void BundleReplicator::OnSnapshot(const StoreResult& result,
                                  TimePoint now,
                                  BundleReplicatorCommands& commands) {
  if (!m_awaiting_snapshot) {
    return;
  }
  StoredBundle stored = std::move(*m_awaiting_snapshot);
  m_awaiting_snapshot.reset();
  auto text = ApplyChain(result.value, TextHash(result.value), stored.chain);
  if (!text) {
    // The snapshot was overwritten by a later roll: read the bundle again.
    m_revision = 0;
    m_rate_limiter.RecordFailure(now, m_random);
    return;
  }
  m_broadcast_root = m_self;
  Adopt({std::move(*text), std::move(stored.signatures)}, stored.chain,
        BundleSource::kStore, now, commands);
}

void BundleReplicator::Adopt(SignedBundle bundle,
                             const std::vector<VersionDelta>& chain,
                             BundleSource source,
                             TimePoint now,
                             BundleReplicatorCommands& commands) {
  // NOTE: ApplyChain has verified the text against the last delta's hash.
  const uint64_t hash =
      chain.empty() ? TextHash(bundle.text) : chain.back().hash;
  if (hash == m_hash && m_version != 0) {
    return;
  }
  const BundleVerification verification = m_verify(std::move(bundle));
  if (!verification.bundle) {
    commands.push_back(RejectBundle{source, verification.error});
    return;
  }
  if (verification.bundle->version <= m_version) {
    return;
  }
  const uint64_t base_hash = m_hash;
  RecordHistory(chain, *verification.envelope, hash);
  m_version = verification.bundle->version;
  m_hash = hash;
  m_envelope = verification.envelope;
  m_next_request = now;
  m_best_join_offer.reset();
  commands.push_back(
      ActivateBundle{verification.bundle, verification.envelope, source});
  PushToChildren(base_hash, commands);
}

// Records the deltas from the active version to `next`, to answer requests.
void BundleReplicator::RecordHistory(const std::vector<VersionDelta>& chain,
                                     const SignedBundle& next,
                                     uint64_t hash) {
  if (!m_envelope) {
    return;
  }
  const auto keep = [this](VersionDelta step) {
    m_history_bytes += TextDeltaBytes(step.edits);
    m_history.push_back(std::move(step));
  };
  auto step = std::find_if(
      chain.begin(), chain.end(),
      [this](const VersionDelta& delta) { return delta.base_hash == m_hash; });
  if (step == chain.end()) {
    keep({.base_hash = m_hash,
          .hash = hash,
          .edits = MakeTextDelta(m_envelope->text, next.text)});
  }
  for (; step != chain.end(); ++step) {
    keep(*step);
  }
  while (!m_history.empty() && (m_history_bytes > kMaximumHistoryBytes ||
                                m_history.size() > kMaximumChainLength)) {
    m_history_bytes -= TextDeltaBytes(m_history.front().edits);
    m_history.pop_front();
  }
}

void BundleReplicator::PushToChildren(uint64_t base_hash,
                                      BundleReplicatorCommands& commands) {
  if (m_history.empty()) {
    // The first bundle has no delta. It is not pushed; peers request it.
    return;
  }
  const std::string payload = EncodeMessage(ContentSince(base_hash));
  for (const NodeId& node :
       BroadcastTreeChildren(std::to_string(m_version), m_peers.local,
                             m_broadcast_root, m_self)) {
    // Nodes that need a change too large to push will request it.
    if (payload.size() > kMaximumPushBytes) {
      SendOffer(node, OfferReply::kNone, commands);
    } else {
      commands.push_back(
          SendBundleMessage{node, NodeMessageKind::kBundleContent, payload});
    }
  }
}

void BundleReplicator::OfferToPeers(TimePoint now,
                                    BundleReplicatorCommands& commands) {
  if (now >= m_next_offer) {
    m_next_offer = now + kOfferInterval;
    if (const NodeId* peer = RandomPeer(m_peers.local)) {
      SendOffer(*peer, OfferReply::kWanted, commands);
    }
  }
  if (now >= m_next_remote_offer && IsWatcher()) {
    m_next_remote_offer = now + kRemoteOfferInterval;
    if (const NodeId* peer = RandomPeer(m_peers.remote)) {
      SendOffer(*peer, OfferReply::kWanted, commands);
    }
  }
}

// Solicits offers from several peers while this node has no bundle, and
// requests the highest version offered.
void BundleReplicator::Join(TimePoint now, BundleReplicatorCommands& commands) {
  if (m_best_join_offer && now - m_best_join_offer->since >= kJoinOfferWindow) {
    Request(m_best_join_offer->from, now, commands);
    // NOTE: The peer may have failed, so start collecting offers again.
    if (now - m_best_join_offer->since >= kJoinTimeout) {
      m_best_join_offer.reset();
    }
  }
  if (now < m_next_join) {
    return;
  }
  m_next_join = now + kJoinInterval;
  for (size_t i = 0; i < kJoinOffers; ++i) {
    if (const NodeId* peer = RandomPeer(m_peers.local)) {
      SendOffer(*peer, OfferReply::kWanted, commands);
    }
  }
  if (const NodeId* peer = RandomPeer(m_peers.remote)) {
    SendOffer(*peer, OfferReply::kWanted, commands);
  }
}

void BundleReplicator::RequestFromRemotePeer(
    TimePoint now,
    BundleReplicatorCommands& commands) {
  if (!m_pending_remote_offer ||
      now - m_pending_remote_offer->since < kRemoteRequestDelay) {
    return;
  }
  const PendingOffer offer = std::move(*m_pending_remote_offer);
  m_pending_remote_offer.reset();
  if (offer.version > m_version) {
    Request(offer.from, now, commands);
  }
}

}  // namespace pistachiowalk
