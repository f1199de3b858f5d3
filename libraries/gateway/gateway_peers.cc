#include <algorithm>

#include "base/event_log.h"
#include "following/snapshot_peer.h"
#include "gateway/gateway.h"
#include "gateway/gateway_log_events.h"
#include "gateway/gateway_names.h"

// Part of Gateway: exchanges digests and snapshots with peers.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Minimum interval between digests, and its increase per receiver, so that the
// rate at which a node receives digests stays constant with more nodes.
constexpr Duration kMinimumDigestInterval = milliseconds(200);
constexpr Duration kDigestIntervalPerNode = milliseconds(12);
// The same for data centre digests: the representative of a data centre
// forwards each one it receives to all nodes of its own.
constexpr Duration kMinimumDataCenterInterval = milliseconds(400);
constexpr Duration kDataCenterIntervalPerCopy = milliseconds(5);
// Interval of usage counts to a duty holder in another data centre; reports are
// due only seconds after a window's end.
constexpr Duration kDutyHolderInterval = milliseconds(1000);
// Nodes of a data centre that watch the store; the others follow these. Two, so
// that one of them may fail or be rejected by the store.
constexpr size_t kWatchersPerDataCenter = 2;
// In a data centre of at most this many nodes, all of them watch the store.
constexpr size_t kSmallDataCenterNodes = 4;
// Upper bound of the delay between two nodes' watches reporting the same
// change: the batch delay and a slow call.
constexpr Duration kWatchLag = milliseconds(900);
// Interval between repeated messages on the followed histories, which replace
// lost ones, and its increase per receiver.
constexpr Duration kMinimumHistoriesInterval = milliseconds(1000);
constexpr Duration kHistoriesIntervalPerNode = milliseconds(40);
// Number of usage windows before the current one that digests contain.
constexpr UsageWindow kDigestUsageWindows = 2;
// Usage counts are included in one of this many digests.
constexpr uint64_t kUsageDigestPeriod = 4;

std::vector<CustomerUsage> ToCustomerUsage(const CustomerUsages& own,
                                           const CustomerUsages& remembered) {
  std::map<CustomerName, CustomerUsage> by_customer;
  for (const auto& [customer, usage] : own) {
    by_customer[customer].own = usage;
  }
  for (const auto& [customer, usage] : remembered) {
    by_customer[customer].remembered = usage;
  }
  std::vector<CustomerUsage> list;
  for (auto& [customer, usage] : by_customer) {
    usage.customer = customer;
    list.push_back(usage);
  }
  return list;
}

CustomerUsages ToOwnUsages(const std::vector<CustomerUsage>& list) {
  CustomerUsages own;
  for (const CustomerUsage& usage : list) {
    own[usage.customer] = usage.own;
  }
  return own;
}

EndpointWork ToEndpointWork(uint64_t key, const OutstandingWork& work) {
  return EndpointWork{
      .endpoint_key = key,
      .requests = work.requests,
      .pending_prompt_tokens =
          static_cast<uint32_t>(work.pending_prompt_tokens),
      .context_tokens = static_cast<uint32_t>(work.context_tokens)};
}

}  // namespace

Duration Gateway::DigestInterval() const {
  return std::max(kMinimumDigestInterval,
                  kDigestIntervalPerNode *
                      static_cast<int64_t>(m_digest_plan.direct.size()));
}

Duration Gateway::DataCenterInterval() const {
  const auto remote = static_cast<int64_t>(m_data_centers.digests().size());
  if (remote == 0) {
    return Duration::zero();
  }
  const auto local = static_cast<int64_t>(m_digest_plan.direct.size());
  return std::max(kMinimumDataCenterInterval,
                  kDataCenterIntervalPerCopy * local * remote);
}

Duration Gateway::ViewAge() const {
  return DigestInterval() + DataCenterInterval();
}

std::vector<SocketAddress> Gateway::AddressesOf(
    const std::vector<NodeId>& nodes) const {
  std::vector<SocketAddress> addresses;
  for (const NodeId& node : nodes) {
    const auto peer = m_peers.peers().find(node);
    if (peer != m_peers.peers().end()) {
      addresses.push_back(peer->second.entry.address);
    }
  }
  return addresses;
}

size_t Gateway::ResponsiveNodeCount() const {
  size_t count = 1 + m_data_centers.NodeCount();
  for (const auto& [node, peer] : m_peers.peers()) {
    count += !peer.is_silent && !m_data_centers.IsKnown(peer.entry.data_center)
                 ? 1
                 : 0;
  }
  return count;
}

OutstandingWork Gateway::PeerWorkAt(uint64_t endpoint_key) const {
  return m_peers.WorkAt(endpoint_key) + m_data_centers.WorkAt(endpoint_key);
}

bool Gateway::IsDutyHeld() const {
  return m_peers.DutyHolder() || m_data_centers.DutyHolder();
}

void Gateway::SendDigest() {
  m_ports.loop.Schedule(DigestInterval(), [this] { SendDigest(); });
  SendDigestNow();
}

void Gateway::SendDigestNow() {
  const TimePoint now = m_ports.clock.Now();
  std::map<DataCenterName, NodeId> representatives;
  for (const auto& [name, digest] : m_data_centers.digests()) {
    representatives[name] = digest.representative;
  }
  m_digest_plan = PlanDigests(m_peers.Self(m_is_stopping), m_peers.OtherNodes(),
                              representatives, m_data_center_sequence);
  ++m_digest_sequence;
  const NodeDigest whole = MakeDigest(now);
  NodeDigest digest = whole;
  const AllowedUsageOf allowed_usage_of = [this](const CustomerName& customer) {
    return AllowedUsage(customer);
  };
  const LeftOutEntries left_out = KeepWithinBounds(digest, allowed_usage_of);
  LogLeftOut("node", left_out, m_left_out_of_node);
  m_limits.SetUnreported(left_out.customers > 0
                             ? LeftOutCustomers(whole, digest)
                             : std::set<CustomerName>());
  m_digest_exchange->Send(digest, AddressesOf(m_digest_plan.direct));
  SendUsageToDutyHolder(digest);
  if (m_digest_plan.represents_data_center) {
    SendDataCenterDigest(digest, now);
  }
}

double Gateway::AllowedUsage(const CustomerName& customer) const {
  if (!m_edge.config) {
    return 0.0;
  }
  const auto spec = m_edge.config->customers.find(customer);
  return spec == m_edge.config->customers.end() ||
                 spec->second.rate_per_second <= 0.0
             ? 0.0
             : m_limits.AllowedUsage(CustomerLimit{
                   .rate_per_second = spec->second.rate_per_second,
                   .burst = spec->second.burst});
}

NodeDigest Gateway::MakeDigest(TimePoint now) const {
  NodeDigest digest{
      .node = m_settings.node,
      .data_center = m_settings.data_center,
      .link_megabits = m_settings.link_megabits,
      .is_stopping = m_is_stopping,
      .incarnation = m_incarnation,
      .sequence = m_digest_sequence,
      .wall_milliseconds = std::chrono::duration_cast<milliseconds>(
                               m_cluster_time.At(now).time_since_epoch())
                               .count(),
      .config_change = m_config_follower->newest_revision(),
      .endpoints_change = m_endpoint_follower->newest_revision(),
      .nodes_change = m_node_follower->newest_revision(),
      .reaches_store = !m_config_follower->is_store_lost(),
      .holds_duty = m_lease.MayAct(),
      .released_fence = m_lease.released_fence(),
      .customer_usage = ToCustomerUsage(m_limits.OwnUsage(now),
                                        m_limits.RememberedUsage(now))};
  if (m_digest_sequence % kUsageDigestPeriod == 0 || m_is_stopping) {
    digest.started = m_usage.OwnCounts(
        m_usage.WindowOf(m_cluster_time.At(now)) - kDigestUsageWindows);
  }
  for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
    if (endpoint->own_work.requests > 0) {
      digest.work.push_back(
          ToEndpointWork(endpoint->key(), endpoint->own_work));
    }
  }
  for (const auto& [service, meter] : m_edge.demand) {
    digest.demand.push_back(ServiceDemand{
        .service = service, .prompt_tokens_per_second = meter.Rate(now)});
  }
  return digest;
}

void Gateway::LogLeftOut(std::string_view scope,
                         const LeftOutEntries& left_out,
                         LeftOutEntries& logged) {
  if (left_out == logged) {
    return;
  }
  logged = left_out;
  LogEvent(gateway_log::kDigestTrimmed,
           {{"scope", std::string(scope)},
            {"customers", std::to_string(left_out.customers)},
            {"counts", std::to_string(left_out.counts)},
            {"endpoints", std::to_string(left_out.endpoints)},
            {"services", std::to_string(left_out.services)}});
}

FollowedHistories Gateway::MakeHistories() const {
  return FollowedHistories{
      .node = m_settings.node,
      .incarnation = m_incarnation,
      .config = m_config_follower->as_of().history,
      .endpoints = m_endpoint_follower->as_of().history,
      .nodes = m_node_follower->as_of().history,
      .config_version = m_edge.config ? m_edge.config->version : 0};
}

void Gateway::StepHistories() {
  const TimePoint now = m_ports.clock.Now();
  const FollowedHistories histories = MakeHistories();
  // NOTE: A new config alone waits for the next repetition, as digests tell of
  // it and configs may change often.
  FollowedHistories known = m_sent_histories;
  known.config_version = histories.config_version;
  const Duration interval =
      std::max(kMinimumHistoriesInterval,
               kHistoriesIntervalPerNode *
                   static_cast<int64_t>(m_digest_plan.direct.size()));
  if (histories == known && now - m_histories_sent_at < interval) {
    return;
  }
  m_sent_histories = histories;
  m_histories_sent_at = now;
  m_digest_exchange->Send(histories, AddressesOf(m_digest_plan.direct));
  if (m_digest_plan.represents_data_center) {
    m_digest_exchange->Send(histories, AddressesOf(m_digest_plan.remote));
  }
}

void Gateway::OnPeerHistories(const FollowedHistories& histories) {
  const bool is_newer = m_peers.ApplyHistories(histories);
  const auto sender = m_peers.peers().find(histories.node);
  // The representative of another data centre is a source of snapshots for all
  // nodes of this one.
  if (m_digest_plan.represents_data_center && sender != m_peers.peers().end() &&
      !m_peers.IsInOwnDataCenter(sender->second) &&
      (is_newer || sender->second.histories == histories)) {
    m_digest_exchange->Send(histories, AddressesOf(m_digest_plan.direct));
  }
}

void Gateway::SendUsageToDutyHolder(const NodeDigest& digest) {
  const std::optional<NodeId> holder = m_data_centers.DutyHolder();
  const TimePoint now = m_ports.clock.Now();
  if (!holder || now - m_duty_holder_digest_sent_at < kDutyHolderInterval) {
    return;
  }
  m_duty_holder_digest_sent_at = now;
  NodeDigest counts = digest;
  // The data centre digest already contains these values.
  counts.work.clear();
  counts.customer_usage.clear();
  counts.demand.clear();
  counts.started = m_usage.OwnCounts(m_usage.WindowOf(m_cluster_time.At(now)) -
                                     kDigestUsageWindows);
  KeepWithinBounds(counts);
  m_digest_exchange->Send(counts, AddressesOf({*holder}));
}

DataCenterDigest Gateway::MakeDataCenterDigest(const NodeDigest& own,
                                               TimePoint now) {
  DataCenterDigest digest{
      .data_center = m_settings.data_center,
      .representative = m_settings.node,
      .incarnation = m_incarnation,
      .sequence = ++m_data_center_sequence,
      .nodes = 1,
      .config_change = m_config_follower->newest_revision(),
      .endpoints_change = m_endpoint_follower->newest_revision(),
      .nodes_change = m_node_follower->newest_revision(),
      .released_fence = m_lease.released_fence(),
      .customer_usage = ToCustomerUsage(m_limits.LocalUsage(now), {})};
  EndpointWorkTotals work;
  std::map<ServiceName, double> demand;
  const auto add = [&](const NodeDigest& node) {
    work.Add(node.work);
    for (const ServiceDemand& of_service : node.demand) {
      demand[of_service.service] += of_service.prompt_tokens_per_second;
    }
    if (node.holds_duty) {
      digest.duty_holder = node.node;
    }
    digest.released_fence =
        std::max(digest.released_fence, node.released_fence);
  };
  add(own);
  for (const auto& [node, peer] : m_peers.peers()) {
    if (!peer.is_silent && m_peers.IsInOwnDataCenter(peer)) {
      add(peer.digest);
      ++digest.nodes;
    }
  }
  for (const auto& [key, total] : work.totals()) {
    digest.work.push_back(ToEndpointWork(key, total));
  }
  for (const auto& [service, rate] : demand) {
    digest.demand.push_back(
        ServiceDemand{.service = service, .prompt_tokens_per_second = rate});
  }
  return digest;
}

void Gateway::SendDataCenterDigest(const NodeDigest& own, TimePoint now) {
  if (now - m_data_center_digest_sent_at < DataCenterInterval()) {
    return;
  }
  m_data_center_digest_sent_at = now;
  DataCenterDigest digest = MakeDataCenterDigest(own, now);
  const LeftOutEntries left_out = KeepWithinBounds(
      digest,
      [this](const CustomerName& customer) { return AllowedUsage(customer); });
  LogLeftOut("data_center", left_out, m_left_out_of_data_center);
  m_digest_exchange->Send(digest, AddressesOf(m_digest_plan.remote));
}

void Gateway::OnDigest(const NodeDigest& digest, const SocketAddress& from) {
  const TimePoint now = m_ports.clock.Now();
  const auto known = m_peers.peers().find(digest.node);
  const bool has_restarted =
      known == m_peers.peers().end() ||
      known->second.digest.incarnation != digest.incarnation;
  if (!m_peers.ApplyDigest(digest, from, now)) {
    return;
  }
  if (has_restarted) {
    SendQuarantine({digest.node});
    SendWorkerLimits(m_worker_limits.Reports(now), {digest.node});
    SendRollouts({digest.node});
  }
  CustomerUsages remembered;
  for (const CustomerUsage& usage : digest.customer_usage) {
    remembered[usage.customer] = usage.remembered;
  }
  m_limits.SetPeerUsage(digest.node, digest.incarnation,
                        ToOwnUsages(digest.customer_usage), remembered, now);
  if (digest.released_fence != 0) {
    m_lease.NoteReleased(digest.released_fence);
  }
  m_usage.MergeNodeCounts(digest.node, digest.incarnation, digest.started);
}

void Gateway::OnDataCenterDigest(const DataCenterDigest& digest) {
  const TimePoint now = m_ports.clock.Now();
  if (!m_data_centers.Apply(digest, now)) {
    return;
  }
  m_limits.SetDataCenterUsage(digest.data_center, digest.representative,
                              digest.incarnation,
                              ToOwnUsages(digest.customer_usage), now);
  if (digest.released_fence != 0) {
    m_lease.NoteReleased(digest.released_fence);
  }
  if (m_digest_plan.represents_data_center) {
    m_digest_exchange->Send(digest, AddressesOf(m_digest_plan.direct));
  }
}

void Gateway::UpdateWatchMode() {
  const size_t local = static_cast<size_t>(std::count_if(
      m_peers.peers().begin(), m_peers.peers().end(), [this](const auto& peer) {
        return m_peers.IsInOwnDataCenter(peer.second);
      }));
  const bool is_passive =
      local >= kSmallDataCenterNodes &&
      m_peers.CountHigherRanked() >= kWatchersPerDataCenter &&
      m_config_follower->has_state() && m_endpoint_follower->has_state() &&
      m_node_follower->has_state();
  m_config_follower->SetPassive(is_passive);
  m_endpoint_follower->SetPassive(is_passive);
  m_node_follower->SetPassive(is_passive);
}

bool Gateway::IsConfigBehind() const {
  const std::vector<SnapshotPeer> peers =
      SnapshotPeers(&FollowedHistories::config,
                    [](const auto& digest) { return digest.config_change; });
  const uint64_t version = m_edge.config ? m_edge.config->version : 0;
  return std::any_of(peers.begin(), peers.end(), [&](const SnapshotPeer& peer) {
    return peer.newest_change > m_config_follower->as_of() ||
           peer.config_version > version;
  });
}

void Gateway::UpdateConfigLag() {
  const TimePoint now = m_ports.clock.Now();
  StorePosition heard_position;
  uint64_t heard_version = 0;
  for (const SnapshotPeer& peer :
       SnapshotPeers(&FollowedHistories::config,
                     [](const auto& digest) { return digest.config_change; })) {
    heard_position = std::max(heard_position, peer.newest_change);
    heard_version = std::max(heard_version, peer.config_version);
  }
  m_config_position_lag.Update(heard_position, m_config_follower->as_of(), now);
  const uint64_t own_version = m_edge.config ? m_edge.config->version : 0;
  // NOTE: A config that this node cannot read never comes into force here, and
  // an older one serves callers better than none.
  m_config_version_lag.Update(
      m_is_config_unreadable ? own_version : heard_version, own_version, now);
  const bool is_late = IsConfigLate();
  if (is_late == m_was_config_late) {
    return;
  }
  m_was_config_late = is_late;
  LogEvent(
      is_late ? gateway_log::kConfigLate : gateway_log::kConfigCaughtUp,
      {{"version",
        m_edge.config ? std::to_string(m_edge.config->version) : "-"},
       {"known", FormatStorePosition(m_config_follower->as_of())},
       {"heard", FormatStorePosition(heard_position)},
       {"heard_version", std::to_string(heard_version)},
       {"ms",
        std::to_string(
            std::chrono::duration_cast<milliseconds>(ConfigLag()).count())}});
}

Duration Gateway::ConfigLag() const {
  const TimePoint now = m_ports.clock.Now();
  const auto since_of = [now](const auto& lag) {
    return lag.behind_since().value_or(now);
  };
  return now - std::min(since_of(m_config_position_lag),
                        since_of(m_config_version_lag));
}

bool Gateway::IsConfigLate() const {
  // NOTE: The other half is the time in which digests tell of a change.
  return ConfigLag() > m_settings.config_bound / 2;
}

void Gateway::CatchUpWithPeers() {
  UpdateWatchMode();
  CatchUpPrefix(kConfigSnapshotName, *m_config_follower,
                &FollowedHistories::config,
                [](const auto& digest) { return digest.config_change; });
  CatchUpPrefix(kEndpointsSnapshotName, *m_endpoint_follower,
                &FollowedHistories::endpoints,
                [](const auto& digest) { return digest.endpoints_change; });
  CatchUpPrefix(kNodesSnapshotName, *m_node_follower, &FollowedHistories::nodes,
                [](const auto& digest) { return digest.nodes_change; });
}

template <class ChangeOf>
std::vector<SnapshotPeer> Gateway::SnapshotPeers(
    StoreHistory FollowedHistories::*history,
    ChangeOf change_of) const {
  std::vector<SnapshotPeer> candidates;
  const auto add = [&](const auto& digest, const Peer& peer) {
    const FollowedHistories histories =
        peer.histories.value_or(FollowedHistories{});
    candidates.push_back(
        SnapshotPeer{.newest_change = {.history = histories.*history,
                                       .revision = change_of(digest)},
                     .is_in_own_data_center = m_peers.IsInOwnDataCenter(peer),
                     .link_megabits = peer.entry.link_megabits,
                     .address = peer.entry.address,
                     .names_histories = peer.histories.has_value(),
                     .config_version = histories.config_version});
  };
  for (const auto& [node, peer] : m_peers.peers()) {
    if (!peer.is_silent) {
      add(peer.digest, peer);
    }
  }
  for (const auto& [data_center, digest] : m_data_centers.digests()) {
    const auto representative = m_peers.peers().find(digest.representative);
    if (representative != m_peers.peers().end()) {
      add(digest, representative->second);
    }
  }
  return candidates;
}

void Gateway::AskPeersForEndpoints() {
  std::vector<SnapshotPeer> peers =
      SnapshotPeers(&FollowedHistories::endpoints,
                    [](const auto& digest) { return digest.endpoints_change; });
  std::erase_if(peers, [this](const SnapshotPeer& peer) {
    return m_snapshot_relay.IsBusy(peer.address);
  });
  if (const auto peer =
          ChooseSnapshotPeer(peers, StorePosition{}, m_edge.random)) {
    m_snapshot_relay.Fetch(kEndpointsSnapshotName, *peer);
  }
}

template <class ChangeOf>
void Gateway::CatchUpPrefix(const char* name,
                            const PrefixFollower& follower,
                            StoreHistory FollowedHistories::*history,
                            ChangeOf change_of) {
  const auto choose = [&](const std::vector<SnapshotPeer>& candidates) {
    std::optional<SnapshotPeer> best =
        ChooseSnapshotPeer(candidates, follower.as_of(), m_edge.random);
    if (!best && &follower == m_config_follower.get()) {
      best = ChooseConfigPeer(candidates,
                              m_edge.config ? m_edge.config->version : 0,
                              m_edge.random);
    }
    return best;
  };
  std::vector<SnapshotPeer> candidates = SnapshotPeers(history, change_of);
  if (!choose(candidates)) {
    m_behind_since.erase(name);
    return;
  }
  // NOTE: A watching node may receive a change slightly later than others, so
  // it waits before it fetches; a longer delay means that its watch is dead.
  const TimePoint now = m_ports.clock.Now();
  const TimePoint since = m_behind_since.try_emplace(name, now).first->second;
  const bool is_watching = !follower.is_store_lost() &&
                           !follower.is_passive() && follower.has_state();
  const bool is_unconfirmed = &follower == m_endpoint_follower.get() &&
                              m_list_state != ListState::kConfirmed;
  if (is_watching && !is_unconfirmed && now - since < kWatchLag) {
    return;
  }
  std::erase_if(candidates, [this](const SnapshotPeer& peer) {
    return m_snapshot_relay.IsBusy(peer.address);
  });
  if (const std::optional<SnapshotPeer> best = choose(candidates)) {
    m_snapshot_relay.Fetch(name, *best);
  }
}

}  // namespace pistachiowalk
