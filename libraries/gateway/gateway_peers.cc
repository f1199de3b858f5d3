#include "base/event_log.h"
#include "gateway/gateway.h"
#include "gateway/gateway_names.h"

// The part of a gateway that tells its peers and hears from them.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Digests at a few nodes, and what each further node adds, so that what a node
// receives a second stays flat as nodes grow.
constexpr Duration kShortestDigestInterval = milliseconds(200);
constexpr Duration kDigestIntervalPerNode = milliseconds(12);
// Nodes of a data centre that follow the store; the others follow these.
constexpr size_t kWatchersPerDataCenter = 4;
// Usage windows before the current one that digests tell of.
constexpr UsageWindow kToldWindows = 2;

}  // namespace

Duration Gateway::DigestInterval() const {
  return std::max(
      kShortestDigestInterval,
      kDigestIntervalPerNode * static_cast<int64_t>(m_peers.peers().size()));
}

void Gateway::SendDigest() {
  SendDigestNow();
  m_ports.loop.Schedule(DigestInterval(), [this] { SendDigest(); });
}

void Gateway::SendDigestNow() {
  const TimePoint now = m_ports.clock.Now();
  NodeDigest digest{
      .node = m_settings.node,
      .data_center = m_settings.data_center,
      .incarnation = m_incarnation,
      .sequence = ++m_digest_sequence,
      .wall_milliseconds = std::chrono::duration_cast<milliseconds>(
                               m_true_time.At(now).time_since_epoch())
                               .count(),
      .config_revision = m_config_follower->as_of(),
      .endpoints_revision = m_endpoint_follower->as_of(),
      .reaches_store = !m_config_follower->is_store_lost(),
      .watches_store = !m_config_follower->is_passive(),
      .holds_duty = m_lease.MayAct(),
      .released_fence = m_lease.released_fence(),
      .started =
          m_usage.Own(m_usage.WindowOf(m_true_time.At(now)) - kToldWindows)};
  for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
    const SentWork& work = endpoint->own_work;
    if (work.requests > 0) {
      digest.work.push_back(EndpointWork{
          .endpoint_key = endpoint->key(),
          .requests = work.requests,
          .pending_prompt_tokens =
              static_cast<uint32_t>(work.pending_prompt_tokens),
          .context_tokens = static_cast<uint32_t>(work.context_tokens)});
    }
  }
  std::map<CustomerName, CustomerUsed> used;
  for (const auto& [customer, use] : m_limits.OwnUse(now)) {
    used[customer].own = use;
  }
  for (const auto& [customer, use] : m_limits.RememberedUse(now)) {
    used[customer].remembered = use;
  }
  for (auto& [customer, use] : used) {
    use.customer = customer;
    digest.used.push_back(use);
  }
  for (const auto& [service, meter] : m_edge.demand) {
    digest.demand.push_back(ServiceDemand{
        .service = service, .prompt_tokens_per_second = meter.Rate(now)});
  }
  std::vector<SocketAddress> receivers;
  for (const auto& [node, peer] : m_peers.peers()) {
    receivers.push_back(peer.address);
  }
  m_digests->Send(digest, receivers);
}

void Gateway::OnDigest(const NodeDigest& digest, const SocketAddress& from) {
  const TimePoint now = m_ports.clock.Now();
  if (!m_peers.ApplyDigest(digest, from, now)) {
    return;
  }
  CustomerUses use;
  CustomerUses remembered;
  for (const CustomerUsed& used : digest.used) {
    use[used.customer] = used.own;
    remembered[used.customer] = used.remembered;
  }
  m_limits.SetPeerUse(digest.node, digest.incarnation, use, remembered, now);
  if (digest.released_fence != 0) {
    m_lease.NoteReleased(digest.released_fence);
  }
  m_usage.NoteTold(digest.node, digest.incarnation, digest.started);
}

void Gateway::ChooseWatchers() {
  const bool is_passive = m_peers.CountBefore() >= kWatchersPerDataCenter &&
                          m_config_follower->has_state() &&
                          m_endpoint_follower->has_state();
  m_config_follower->SetPassive(is_passive);
  m_endpoint_follower->SetPassive(is_passive);
}

void Gateway::FollowPeers() {
  ChooseWatchers();
  const auto ask = [this](const char* name, const PrefixFollower& follower,
                          uint64_t NodeDigest::*revision) {
    if (!follower.is_store_lost() && !follower.is_passive() &&
        follower.has_state()) {
      return;
    }
    // The newest state goes first, and of equals the one that is near.
    const auto rank = [&](const Peer& peer) {
      return std::pair(peer.digest.*revision,
                       peer.digest.data_center == m_settings.data_center);
    };
    const Peer* best = nullptr;
    for (const auto& [node, peer] : m_peers.peers()) {
      if (!peer.is_silent && peer.digest.reaches_store &&
          peer.digest.watches_store &&
          peer.digest.*revision > follower.as_of() &&
          (best == nullptr || rank(peer) > rank(*best))) {
        best = &peer;
      }
    }
    if (best != nullptr) {
      m_relay.Ask(name, best->address);
    }
  };
  ask(kConfigStateName, *m_config_follower, &NodeDigest::config_revision);
  ask(kEndpointsStateName, *m_endpoint_follower,
      &NodeDigest::endpoints_revision);
}

}  // namespace pistachiowalk
