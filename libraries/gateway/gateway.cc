#include "gateway/gateway.h"

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <csignal>

#include "base/event_log.h"
#include "edge/forwarded_request.h"
#include "gateway/gateway_log_events.h"
#include "store/store_port.h"

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;
namespace leaf = boost::leaf;

// Keys of the system's own in the store.
constexpr std::string_view kNodesPrefix = "pistachiowalk/nodes/";
constexpr std::string_view kDutyLeaseKey = "pistachiowalk/duty-lease";
constexpr std::string_view kLimitsKey = "pistachiowalk/used-limits";
constexpr std::string_view kUsagePrefix = "pistachiowalk/usage/";
// Names of the followers towards peers.
constexpr const char* kConfigName = "config";
constexpr const char* kEndpointsName = "endpoints";

// Digests at a few nodes, and what each further node adds, so that what a node
// receives a second stays flat as nodes grow.
constexpr Duration kShortestDigestInterval = milliseconds(200);
// A digest's way, and the loss of one now and then.
constexpr Duration kDigestDelay = milliseconds(150);
constexpr Duration kDigestIntervalPerNode = milliseconds(12);
// With more peers than this, those of other data centres get fewer digests,
// with a pause that grows by their number.
constexpr size_t kManyPeers = 32;
constexpr Duration kFarDigestIntervalPerNode = milliseconds(36);
// Nodes of a data centre that follow the store; the others follow these.
constexpr size_t kWatchersPerDataCenter = 4;
// Usage windows before the current one that digests tell of.
constexpr UsageWindow kToldWindows = 2;
constexpr Duration kBeliefInterval = milliseconds(100);
constexpr Duration kDutyInterval = milliseconds(400);
constexpr Duration kHousekeepingInterval = milliseconds(500);
constexpr Duration kLogFlushInterval = milliseconds(50);
// Nodes change rarely, and digests find them sooner.
constexpr FollowerTimes kNodeFollowerTimes{.watch_wait = milliseconds(15000)};
// After SIGTERM the balancer asks twice, a second apart, before it turns away;
// until then callers still come. What is read later could not be finished in
// the grace period.
constexpr Duration kTurnAwayTime = milliseconds(2600);
// Left of the grace period for the end itself.
constexpr Duration kGraceMargin = milliseconds(700);
// Descriptors that are not for callers: endpoints, store, peers, files.
constexpr size_t kReservedDescriptors = 1400;
// Part of the engines' slots that running requests may fill before more
// workers are needed.
constexpr double kSlotUse = 0.7;
// Share of its limit from which a customer's use is recorded.
constexpr double kRecordedUse = 0.6;

// Terms by which the duties' holder changes at the earliest after the time in
// which holders may not alternate.
LeaseTerms DutyTerms(milliseconds lease) {
  return LeaseTerms{.term = lease,
                    .renew_every = lease / 3,
                    .look_every = lease / 2,
                    .order_timeout = milliseconds(1000),
                    .call_timeout = lease / 3,
                    .drift = milliseconds(100)};
}

std::string NodeKey(const NodeId& node) {
  return std::string(kNodesPrefix) + node.value();
}

ServerLimits LimitsOf(const CallerLimits& limits) {
  return ServerLimits{.parse = {.header_bytes = limits.header_bytes,
                                .body_bytes = limits.body_bytes},
                      .header_timeout = limits.header_timeout,
                      .idle_timeout = limits.idle_timeout};
}

// Distinguishes the starts of a node; rises with time.
uint64_t NewIncarnation(const Clock& clock) {
  return static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(
                                   clock.WallNow().time_since_epoch())
                                   .count());
}

}  // namespace

Gateway::Gateway(GatewaySettings settings, const GatewayPorts& ports)
    : m_settings(std::move(settings)),
      m_ports(ports),
      m_incarnation(NewIncarnation(ports.clock)),
      m_registry(std::make_shared<prometheus::Registry>()),
      m_edge_metrics(*m_registry),
      m_gauges(*m_registry),
      m_true_time(ports.clock.Now(), ports.clock.WallNow()),
      m_peers(m_settings.node, m_settings.data_center),
      m_limits(m_settings.limit_window),
      m_usage(m_settings.usage_window),
      m_endpoints(ports.loop,
                  [this](uint64_t key) { return m_peers.WorkAt(key); }),
      m_edge{.loop = ports.loop,
             .clock = ports.clock,
             .wire = ports.wire,
             .endpoints = m_endpoints,
             .limits = m_limits,
             .usage = m_usage,
             .true_time = m_true_time,
             .metrics = m_edge_metrics,
             .data_center = m_settings.data_center,
             .regions = m_settings.regions,
             .random = std::mt19937_64(m_incarnation ^
                                       std::hash<NodeId>()(m_settings.node))},
      m_relay(ports.loop),
      m_lease(ports.loop,
              ports.clock,
              ports.store,
              std::string(kDutyLeaseKey),
              fmt::format("{}/{}", m_settings.node.value(), m_incarnation),
              DutyTerms(m_settings.duty_lease),
              [this] { return m_peers.IsDutyHeld(); }),
      m_usage_reporter(ports.clock,
                       ports.store,
                       ports.cloud,
                       m_lease,
                       m_usage,
                       m_settings.node,
                       std::string(kUsagePrefix)),
      m_orderer(ports.clock, ports.cloud, m_lease, m_settings.node),
      m_limit_record(ports.store, std::string(kLimitsKey)) {}

Gateway::~Gateway() = default;

leaf::result<std::unique_ptr<Gateway>> Gateway::Create(
    GatewaySettings settings,
    const GatewayPorts& ports) {
  std::unique_ptr<Gateway> gateway(new Gateway(std::move(settings), ports));
  BOOST_LEAF_CHECK(gateway->Listen());
  gateway->StartFollowing();
  return gateway;
}

leaf::result<void> Gateway::Listen() {
  EventLoop& loop = m_ports.loop;
  const Clock& clock = m_ports.clock;
  BOOST_LEAF_ASSIGN(
      m_callers, HttpService::Create(
                     loop, clock, m_settings.callers, LimitsOf(CallerLimits{}),
                     [this](const ServerExchangePtr& exchange) {
                       boost::intrusive_ptr<ForwardedRequest>(
                           new ForwardedRequest(m_edge, exchange))
                           ->Start();
                     }));
  if (m_settings.maximum_descriptors > 2 * kReservedDescriptors) {
    m_callers->SetMaximumConnections(m_settings.maximum_descriptors -
                                     kReservedDescriptors);
  }
  BOOST_LEAF_ASSIGN(
      m_readiness,
      HttpService::Create(loop, clock, m_settings.readiness, ServerLimits{},
                          [this](const ServerExchangePtr& exchange) {
                            ServeReadiness(exchange);
                          }));
  BOOST_LEAF_ASSIGN(
      m_metrics,
      HttpService::Create(loop, clock, m_settings.metrics, ServerLimits{},
                          [this](const ServerExchangePtr& exchange) {
                            ServeMetrics(exchange);
                          }));
  BOOST_LEAF_ASSIGN(
      m_peer_service,
      HttpService::Create(loop, clock, m_settings.peers, ServerLimits{},
                          [this](const ServerExchangePtr& exchange) {
                            m_relay.Serve(exchange);
                          }));
  BOOST_LEAF_ASSIGN(m_digests,
                    DigestExchange::Create(loop, m_settings.peers,
                                           [this](const NodeDigest& digest,
                                                  const SocketAddress& from) {
                                             OnDigest(digest, from);
                                           }));
  return {};
}

std::unique_ptr<PrefixFollower> Gateway::MakeConfigFollower() {
  return std::make_unique<PrefixFollower>(
      m_ports.loop, m_ports.prefix_store, m_ports.codec.ConfigPrefix(),
      FollowerTimes{}, m_edge.random(),
      PrefixFollower::Handlers{
          .replaced =
              [this](const std::vector<StoreItem>& items, StateSource) {
                for (const StoreItem& item : items) {
                  OnConfigItem(item);
                }
              },
          .changed =
              [this](const StoreChange& change) {
                if (!change.is_removed) {
                  OnConfigItem(change.item);
                }
              },
          .lost = [this] { m_lease.SetStoreLost(true); },
          .back = [this] { m_lease.SetStoreLost(false); }});
}

std::unique_ptr<PrefixFollower> Gateway::MakeEndpointFollower() {
  return std::make_unique<PrefixFollower>(
      m_ports.loop, m_ports.prefix_store, m_ports.codec.EndpointsPrefix(),
      FollowerTimes{}, m_edge.random(),
      PrefixFollower::Handlers{
          .replaced =
              [this](const std::vector<StoreItem>& items, StateSource source) {
                ReplaceEndpoints(items, source);
              },
          .changed =
              [this](const StoreChange& change) { OnEndpointChange(change); },
          .lost = [this] { m_beliefs.NoteStoreLost(m_ports.clock.Now()); },
          .back = [this] { m_beliefs.NoteStoreBack(m_ports.clock.Now()); }});
}

std::unique_ptr<PrefixFollower> Gateway::MakeNodeFollower() {
  return std::make_unique<PrefixFollower>(
      m_ports.loop, m_ports.prefix_store, std::string(kNodesPrefix),
      kNodeFollowerTimes, m_edge.random(),
      PrefixFollower::Handlers{
          .replaced =
              [this](const std::vector<StoreItem>& items, StateSource) {
                for (const StoreItem& item : items) {
                  OnNodeItem(item);
                }
              },
          .changed =
              [this](const StoreChange& change) {
                if (change.is_removed) {
                  m_peers.RemoveEntry(
                      NodeId(change.item.key.substr(kNodesPrefix.size())));
                } else {
                  OnNodeItem(change.item);
                }
              },
          .lost = [] {},
          .back = [this] { Announce(); }});
}

void Gateway::StartFollowing() {
  m_config_follower = MakeConfigFollower();
  m_endpoint_follower = MakeEndpointFollower();
  m_node_follower = MakeNodeFollower();
  m_relay.AddFollower(kConfigName, *m_config_follower);
  m_relay.AddFollower(kEndpointsName, *m_endpoint_follower);
  m_limit_record.Restore(
      [this](const CustomerUses& use,
             std::chrono::system_clock::time_point recorded_at) {
        const TimePoint now = m_ports.clock.Now();
        m_limits.SetRecordedUse(use,
                                now - std::chrono::duration_cast<Duration>(
                                          m_true_time.At(now) - recorded_at));
      });
  m_config_follower->Start();
  m_endpoint_follower->Start();
  m_node_follower->Start();
  Announce();
  m_lease.Start();
  ApplySharedLimits();

  Repeat(kBeliefInterval, [this] { StepBeliefs(); });
  Repeat(kDutyInterval, [this] { StepDuties(); });
  Repeat(kHousekeepingInterval, [this] {
    m_endpoints.CloseExpiredConnections(m_ports.clock.Now());
    ApplySharedLimits();
    FollowPeers();
  });
  Repeat(kLogFlushInterval, [] { FlushLog(); });
  SendDigest();
  LogEvent(gateway_log::kStarted,
           {{"node", m_settings.node.value()},
            {"incarnation", std::to_string(m_incarnation)},
            {"data_center", m_settings.data_center.value()},
            {"callers", ToText(m_settings.callers)},
            {"peers", ToText(m_settings.peers)}});
}

void Gateway::Repeat(Duration interval, std::function<void()> step) {
  m_ports.loop.Schedule(interval, [this, interval, step = std::move(step)] {
    step();
    Repeat(interval, step);
  });
}

void Gateway::Announce() {
  const std::string key = NodeKey(m_settings.node);
  const std::string value = ToText(m_settings.peers);
  m_ports.store.Get(key, [this, key, value](const StoreResult& found) {
    if (found.status == StoreStatus::kOk && found.value == value) {
      return;
    }
    if (found.status == StoreStatus::kOk) {
      m_ports.store.CompareAndSwap(
          key, found.revision, value, [this](const StoreResult& written) {
            if (written.status != StoreStatus::kOk) {
              LogEvent(gateway_log::kAnnounceFailed, {{"step", "write"}});
              m_ports.loop.Schedule(std::chrono::seconds(1),
                                    [this] { Announce(); });
            }
          });
      return;
    }
    LogEvent(gateway_log::kAnnounceFailed, {{"step", "read"}});
    m_ports.loop.Schedule(std::chrono::seconds(1), [this] { Announce(); });
  });
}

void Gateway::OnConfigItem(const StoreItem& item) {
  if (item.key != m_ports.codec.ConfigKey()) {
    return;
  }
  std::string reason;
  std::optional<ServingConfig> config =
      m_ports.codec.ReadConfig(item.value, reason);
  if (!config) {
    LogEvent(gateway_log::kConfigRefused,
             {{"revision", std::to_string(item.revision)}, {"reason", reason}});
    return;
  }
  if (m_edge.config && config->version <= m_edge.config->version) {
    return;
  }
  m_edge.config = std::make_shared<const ServingConfig>(std::move(*config));
  m_edge.config_revision = item.revision;
  m_callers->SetLimits(LimitsOf(m_edge.config->caller_limits));
  ApplySharedLimits();
  LogEvent(gateway_log::kConfigInForce,
           {{"version", std::to_string(m_edge.config->version)},
            {"revision", std::to_string(item.revision)},
            {"routes", std::to_string(m_edge.config->routes.size())},
            {"customers", std::to_string(m_edge.config->customers.size())}});
}

void Gateway::ReplaceEndpoints(const std::vector<StoreItem>& items,
                               StateSource source) {
  std::vector<EndpointEntry> entries;
  for (const StoreItem& item : items) {
    std::string reason;
    if (auto entry = m_ports.codec.ReadEndpoint(item, reason)) {
      entries.push_back(*entry);
    } else {
      LogEvent(gateway_log::kEntryRefused,
               {{"key", item.key}, {"reason", reason}});
    }
  }
  if (source == StateSource::kPeer) {
    m_beliefs.NoteStoreReachedByPeer(m_ports.clock.Now());
  }
  m_beliefs.Replace(entries, m_ports.clock.Now());
  AfterEndpointChange();
  m_edge.are_endpoints_known = true;
}

void Gateway::OnEndpointChange(const StoreChange& change) {
  const TimePoint now = m_ports.clock.Now();
  std::string reason;
  const std::optional<EndpointEntry> entry =
      change.is_removed ? std::nullopt
                        : m_ports.codec.ReadEndpoint(change.item, reason);
  if (entry) {
    m_beliefs.Apply(*entry, now);
  } else {
    if (!change.is_removed) {
      LogEvent(gateway_log::kEntryRefused,
               {{"key", change.item.key}, {"reason", reason}});
    }
    m_beliefs.Remove(m_ports.codec.EndpointOfKey(change.item.key), now);
  }
  AfterEndpointChange();
}

void Gateway::OnNodeItem(const StoreItem& item) {
  const std::optional<SocketAddress> address = ParseSocketAddress(item.value);
  if (!address) {
    LogEvent(gateway_log::kEntryRefused,
             {{"key", item.key}, {"reason", "the value is no address"}});
    return;
  }
  m_peers.ApplyEntry(NodeId(item.key.substr(kNodesPrefix.size())), *address);
}

void Gateway::AfterEndpointChange() {
  m_endpoints.Follow(m_beliefs);
}

void Gateway::ApplySharedLimits() {
  const size_t known = m_peers.peers().size() + 1;
  const size_t heard = m_peers.HeardCount() + 1;
  m_limits.SetNodes(known, heard);
  m_limits.SetStaleness(
      DigestInterval() * static_cast<int64_t>(FarDigestSteps()) + kDigestDelay);
  m_edge.repeat_terms = RepeatTerms{.ratio = m_settings.repeat_ratio,
                                    .slack = m_settings.repeat_slack,
                                    .window = m_settings.repeat_window,
                                    .nodes = static_cast<double>(known)};
  if (!m_edge.config) {
    return;
  }
  std::map<ServiceName, uint32_t> connections;
  for (const auto& [name, service] : m_edge.config->services) {
    connections[name] = service.maximum_connections;
  }
  m_endpoints.SetConnectionLimits(connections, known);
}

Duration Gateway::DigestInterval() const {
  return std::max(
      kShortestDigestInterval,
      kDigestIntervalPerNode * static_cast<int64_t>(m_peers.NearCount()));
}

uint64_t Gateway::FarDigestSteps() const {
  const size_t peers = m_peers.peers().size();
  if (peers < kManyPeers) {
    return 1;
  }
  const Duration pause = kFarDigestIntervalPerNode *
                         static_cast<int64_t>(peers - m_peers.NearCount());
  return std::max<uint64_t>(1, static_cast<uint64_t>(pause / DigestInterval()));
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
      .far_interval_milliseconds = static_cast<uint32_t>(
          std::chrono::duration_cast<milliseconds>(
              DigestInterval() * static_cast<int64_t>(FarDigestSteps()))
              .count()),
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
  // NOTE: Between data centres bytes cost, and with many nodes there are many
  // pairs; a far node hears each node a few times less often.
  const bool reaches_far = m_digest_sequence % FarDigestSteps() == 0;
  std::vector<SocketAddress> receivers;
  for (const auto& [node, peer] : m_peers.peers()) {
    const bool is_near = peer.is_silent || m_peers.IsNear(peer);
    if (is_near || reaches_far) {
      receivers.push_back(peer.address);
    }
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
  ask(kConfigName, *m_config_follower, &NodeDigest::config_revision);
  ask(kEndpointsName, *m_endpoint_follower, &NodeDigest::endpoints_revision);
}

void Gateway::StepBeliefs() {
  const TimePoint now = m_ports.clock.Now();
  m_beliefs.Step(now);
  m_peers.Step(now);
  AfterEndpointChange();
  if (!m_was_ready && IsReady()) {
    m_was_ready = true;
    LogEvent(gateway_log::kReady,
             {{"config", std::to_string(m_edge.config->version)},
              {"endpoints", std::to_string(m_endpoints.endpoints().size())}});
  }
  if (m_is_stopping) {
    CheckStopped();
  }
}

void Gateway::StepDuties() {
  const TimePoint now = m_ports.clock.Now();
  std::vector<std::chrono::system_clock::time_point> others;
  for (const auto& [node, peer] : m_peers.peers()) {
    if (!peer.is_silent) {
      others.push_back(
          std::chrono::system_clock::time_point(
              milliseconds(peer.digest.wall_milliseconds)) +
          std::chrono::duration_cast<std::chrono::system_clock::duration>(
              now - *peer.heard_at));
    }
  }
  m_true_time.Compare(std::move(others), now);
  if (m_is_stopping) {
    return;
  }
  m_usage_reporter.Step(m_true_time.At(now));
  RecordLimits();
  // NOTE: Before the entries are known, nothing tells which workers stand.
  if (!m_edge.config || !m_endpoint_follower->has_state()) {
    return;
  }
  for (const auto& [name, service] : m_edge.config->services) {
    if (service.scaling) {
      PlanWorkersOf(service);
    }
  }
}

void Gateway::RecordLimits() {
  if (!m_lease.MayAct() || !m_edge.config) {
    return;
  }
  const TimePoint now = m_ports.clock.Now();
  CustomerUses close;
  for (const auto& [name, customer] : m_edge.config->customers) {
    const double allowed = m_limits.Allowed(CustomerLimit{
        .rate_per_second = customer.rate_per_second, .burst = customer.burst});
    const WindowUse used = m_limits.TotalUse(name, now);
    if (allowed > 0.0 && used.Total() >= kRecordedUse * allowed) {
      close[name] = used;
    }
  }
  m_limit_record.Write(close, m_true_time.At(now));
}

void Gateway::PlanWorkersOf(const ServiceSpec& service) {
  const TimePoint now = m_ports.clock.Now();
  double tokens = m_edge.demand[service.name].Rate(now);
  for (const auto& [node, peer] : m_peers.peers()) {
    if (peer.is_silent) {
      continue;
    }
    for (const ServiceDemand& demand : peer.digest.demand) {
      if (demand.service == service.name) {
        tokens += demand.prompt_tokens_per_second;
      }
    }
  }
  WorkerSituation situation;
  double running = 0.0;
  double slots = 1.0;
  for (const auto& [place, price] : service.scaling->prices) {
    situation.workers[place] = WorkersAt{};
  }
  for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
    const EndpointEntry& entry = endpoint->entry();
    if (entry.service != service.name) {
      continue;
    }
    WorkersAt& at = situation.workers[entry.data_center];
    ++(entry.is_reclaimable ? at.reclaimable : at.lasting);
    slots = entry.slots;
    running +=
        endpoint->own_work.requests + m_peers.WorkAt(endpoint->key()).requests;
  }
  situation.needed =
      tokens / (m_edge.engine_speed.prompt_tokens_per_ms * 1000.0) +
      running / (slots * kSlotUse);
  m_orderer.Step(service.name, *service.scaling, std::move(situation));
}

bool Gateway::IsReady() const {
  return !m_is_stopping && m_edge.config != nullptr &&
         m_endpoint_follower->has_state();
}

void Gateway::ServeReadiness(const ServerExchangePtr& exchange) const {
  if (exchange->head().target != m_ports.codec.ReadinessPath()) {
    exchange->Respond(404, {}, "");
    return;
  }
  exchange->Respond(IsReady() ? 200 : 503, {}, "");
}

void Gateway::ServeMetrics(const ServerExchangePtr& exchange) {
  double endpoint_connections = 0;
  for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
    endpoint_connections += endpoint->connections.open();
  }
  m_gauges.Set(GatewayGauges{
      .open_requests = static_cast<double>(m_edge.open_requests),
      .caller_connections = static_cast<double>(m_callers->connections()),
      .endpoints = static_cast<double>(m_endpoints.endpoints().size()),
      .endpoint_connections = endpoint_connections,
      .missing_endpoints = static_cast<double>(m_beliefs.missing()),
      .peers_heard = static_cast<double>(m_peers.HeardCount()),
      .config_version =
          m_edge.config ? static_cast<double>(m_edge.config->version) : 0.0,
      .store_lost = m_config_follower->is_store_lost() ? 1.0 : 0.0,
      .holds_duty = m_lease.MayAct() ? 1.0 : 0.0,
      .dropped_log_lines = static_cast<double>(DroppedLogLines())});
  exchange->Respond(
      200, {{"Content-Type", "text/plain; version=0.0.4"}},
      prometheus::TextSerializer().Serialize(m_registry->Collect()));
}

void Gateway::BeginStop() {
  if (m_is_stopping) {
    return;
  }
  LogEvent(gateway_log::kStopRequested,
           {{"open_requests", std::to_string(m_edge.open_requests)}});
  m_is_stopping = true;
  m_stop_since = m_ports.clock.Now();
  m_lease.Stop();
  // Tells the others at once that the duties are free.
  SendDigestNow();
  m_callers->CloseAfterAnswers();
}

void Gateway::CheckStopped() {
  const Duration stopping = m_ports.clock.Now() - m_stop_since;
  if (stopping < kTurnAwayTime) {
    return;
  }
  m_edge.is_closing = true;
  m_callers->CloseIdleConnections();
  const bool is_over = stopping >= m_settings.grace_period - kGraceMargin;
  if (m_edge.open_requests > 0 && !is_over) {
    return;
  }
  m_stop_reason = is_over ? StopReason::kGraceOver : StopReason::kStopped;
  LogEvent(gateway_log::kStopped,
           {{"open_requests", std::to_string(m_edge.open_requests)}});
  m_ports.loop.Stop();
}

void Gateway::Reload(const GatewaySettings& settings) {
  // NOTE: Addresses and the node's name hold for the life of the process.
  m_settings.grace_period = settings.grace_period;
  m_settings.repeat_ratio = settings.repeat_ratio;
  m_settings.repeat_slack = settings.repeat_slack;
  m_settings.repeat_window = settings.repeat_window;
  m_settings.limit_window = settings.limit_window;
  m_limits.SetWindow(settings.limit_window);
  ApplySharedLimits();
  LogEvent(gateway_log::kReloaded, {{"node", m_settings.node.value()}});
}

StopReason Gateway::Run() {
  m_ports.loop.Run();
  FlushLog();
  return m_stop_reason;
}

}  // namespace pistachiowalk
