#include "gateway/gateway.h"

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <csignal>

#include "base/event_log.h"
#include "edge/forwarded_request.h"
#include "gateway/gateway_log_events.h"
#include "gateway/gateway_names.h"
#include "http1/message_writer.h"
#include "serving/stop_plan.h"
#include "store/store_history_tracker.h"
#include "store/store_port.h"

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;
namespace leaf = boost::leaf;

// Keys that gateways own in the store.
constexpr std::string_view kDutyLeaseKey = "pistachiowalk/duty-lease";
constexpr std::string_view kLimitsKey = "pistachiowalk/used-limits";
constexpr std::string_view kQuarantineKey = "pistachiowalk/quarantine";
constexpr std::string_view kStreamsPrefix = "pistachiowalk/streams/";
constexpr std::string_view kVersionsKey = "pistachiowalk/worker-versions";
constexpr std::string_view kRolloutPrefix = "pistachiowalk/rollout/";
constexpr std::string_view kUsageRecordKey = "pistachiowalk/usage-record";
constexpr std::string_view kUsagePrefix = "pistachiowalk/usage/";

// Network delay of a digest, with an allowance for occasional loss.
constexpr Duration kDigestDelay = milliseconds(150);
// A peer from which no digest arrives for at least this long, and for this many
// digest intervals, is down or disconnected.
constexpr Duration kMinimumPeerTimeout = milliseconds(1500);
constexpr int kMissedDigests = 3;
// If the representative of a data centre fails, another one takes over within
// this time.
constexpr Duration kDataCenterLifetime = milliseconds(5000);
// Bound of the age of a stored record, as this node's clock may be wrong.
constexpr Duration kMaximumRecordAge = std::chrono::hours(24);
constexpr Duration kTableInterval = milliseconds(100);
constexpr Duration kDutyInterval = milliseconds(400);
constexpr Duration kHousekeepingInterval = milliseconds(500);
constexpr Duration kLogFlushInterval = milliseconds(50);
// Least time between two log lines on requests that were not received.
constexpr Duration kNotReceivedLogInterval = milliseconds(5000);
// Share of the process's memory for parts of responses that are held.
constexpr size_t kBufferShareDivisor = 8;
// Shares for responses that callers, peers and others do not read.
constexpr size_t kOutputShareDivisor = 8;
constexpr size_t kPeerOutputShareDivisor = 16;
constexpr size_t kInternalOutputShareDivisor = 64;
// Shares for requests with long and with short bodies; the latter may hold
// twice theirs. The memory that is left is for the rest of the process, the
// allocator's slack and what the kernel holds of unread bytes.
constexpr size_t kLongBodyShareDivisor = 4;
constexpr size_t kShortBodyShareDivisor = 8;
// What one request takes beside its body: its head and a read.
constexpr size_t kRequestOverheadBytes = 256 * 1024;
// File descriptors reserved for endpoints, store, peers and files; half of them
// if there are few.
constexpr size_t kReservedDescriptors = 1400;
// Connections to the internal addresses, and the share of few descriptors that
// each may take.
constexpr size_t kMaximumReadinessConnections = 64;
constexpr size_t kMaximumMetricsConnections = 32;
constexpr size_t kMaximumPeerConnections = 400;
constexpr size_t kInternalShareDivisor = 16;
// Checks of readiness and requests for metrics have no bodies.
constexpr uint64_t kMaximumInternalBodyBytes = 16 * 1024;

// Lease terms under which the holder does not change before `lease` has passed,
// the time in which holders must not alternate.
LeaseTerms DutyTerms(milliseconds lease) {
  return LeaseTerms{.term = lease,
                    .renew_interval = lease / 3,
                    .poll_interval = lease / 2,
                    .order_timeout = milliseconds(1000),
                    .call_timeout = lease / 3,
                    .drift = milliseconds(100)};
}

std::string NodeKey(const NodeId& node) {
  return std::string(kGatewayNodesPrefix) + node.value();
}

// Identifies one run of a node's process; increases with time.
uint64_t NewIncarnation(const Clock& clock) {
  return static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(
                                   clock.WallNow().time_since_epoch())
                                   .count());
}

// A client that misses a response cannot be found in the log by its request,
// which was never read.
void LogNotableClose(const ConnectionClose& close) {
  if (!close.IsNotable()) {
    return;
  }
  LogEvent(gateway_log::kConnectionClosed,
           {{"cause", std::string(ToString(close.cause))},
            {"idle_ms",
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(close.idle).count())},
            {"requests", std::to_string(close.requests)},
            {"had_pending_input", close.had_pending_input ? "yes" : "no"},
            {"dropped_bytes", std::to_string(close.dropped_bytes)}});
}

}  // namespace

Gateway::Gateway(GatewaySettings settings, const GatewayPorts& ports)
    : m_settings(std::move(settings)),
      m_ports(ports),
      m_incarnation(NewIncarnation(ports.clock)),
      m_registry(std::make_shared<prometheus::Registry>()),
      m_edge_metrics(*m_registry),
      m_gateway_metrics(*m_registry),
      m_cluster_time(ports.clock.Now(), ports.clock.WallNow()),
      m_peers(m_settings.node,
              NodeEntry{.address = m_settings.peers,
                        .data_center = m_settings.data_center,
                        .link_megabits = m_settings.link_megabits}),
      m_data_centers(m_settings.data_center),
      m_limits(m_settings.limit_window),
      m_usage(m_settings.usage_window),
      m_quarantine(ports.clock.Now()),
      m_endpoints(
          ports.loop,
          [this](uint64_t key) { return PeerWorkAt(key); },
          m_worker_limits),
      m_stream_origins(ports.loop, ports.clock, MakeStreamPorts()),
      m_list_refresher(ports.loop,
                       ports.clock,
                       [this](ListRefresher::Callback ended) {
                         return AskForVersions(std::move(ended));
                       }),
      m_edge{.loop = ports.loop,
             .clock = ports.clock,
             .wire = ports.wire,
             .endpoints = m_endpoints,
             .limits = m_limits,
             .usage = m_usage,
             .cluster_time = m_cluster_time,
             .quarantine = m_quarantine,
             .worker_limits = m_worker_limits,
             .rollouts = m_rollouts,
             .metrics = m_edge_metrics,
             .data_center = m_settings.data_center,
             .regions = m_settings.regions,
             .is_config_behind = [this] { return IsConfigBehind(); },
             .is_config_late =
                 [this] {
                   if (m_was_config_late) {
                     UpdateConfigLag();
                   }
                   return m_was_config_late;
                 },
             .note_stream_begun =
                 [this](const RequestId& first_attempt,
                        const StreamOrigin& origin) {
                   m_stream_origins.NoteBegun(KeyOfStream(first_attempt),
                                              origin);
                 },
             .note_stream_ended =
                 [this](const RequestId& first_attempt, bool is_complete) {
                   m_stream_origins.NoteEnded(KeyOfStream(first_attempt),
                                              is_complete);
                 },
             .find_stream_origin =
                 [this](const RequestId& first_attempt,
                        StreamOriginDirectory::Callback callback) {
                   m_stream_origins.Find(KeyOfStream(first_attempt),
                                         std::move(callback));
                 },
             .may_learn_origins = [this] { return MayLearnOrigins(); },
             .only_version =
                 [this](const ServiceName& service) {
                   return OnlyVersion(service);
                 },
             .refresh_list =
                 [this](ListRefresher::Callback callback) {
                   m_list_refresher.Refresh(std::move(callback));
                 },
             .note_prefix_read =
                 [this](uint64_t endpoint_key,
                        std::span<const PrefixBlock> shared_prefix) {
                   NotePrefixRead(endpoint_key, shared_prefix);
                 },
             .may_probe = [this] { return m_lease.MayAct(); },
             .random = std::mt19937_64(m_incarnation ^
                                       std::hash<NodeId>()(m_settings.node))},
      m_snapshot_relay(ports.loop, ports.clock, m_settings.link_megabits),
      m_lease(ports.loop,
              ports.clock,
              ports.store,
              std::string(kDutyLeaseKey),
              fmt::format("{}/{}", m_settings.node.value(), m_incarnation),
              DutyTerms(m_settings.duty_lease),
              [this] { return IsDutyHeld(); }),
      m_usage_record(ports.clock,
                     ports.store,
                     m_lease,
                     m_usage,
                     std::string(kUsageRecordKey)),
      m_usage_reporter(ports.clock,
                       ports.store,
                       ports.cloud,
                       m_lease,
                       m_usage,
                       m_settings.node,
                       std::string(kUsagePrefix)),
      m_worker_scaler(ports.clock, ports.cloud, m_lease, m_settings.node),
      m_limit_record(ports.store, std::string(kLimitsKey)),
      m_quarantine_record(ports.store,
                          std::string(kQuarantineKey),
                          [this](const TimedQuarantineState& recorded) {
                            MergeQuarantine(recorded, kMaximumRecordAge);
                          }),
      m_version_record(ports.store,
                       std::string(kVersionsKey),
                       m_service_versions),
      m_stream_record(ports.store,
                      std::string(kStreamsPrefix) + m_settings.node.value(),
                      [this](const StreamOriginRecord& recorded) {
                        m_stream_origins.Restore(recorded);
                      }),
      m_rollout_controller(m_settings.rollout),
      m_rollout_records(
          ports.store,
          RolloutRecords::Format{
              .prefix = std::string(kRolloutPrefix),
              .status_key =
                  [this](const ServiceName& service) {
                    return m_ports.codec.RolloutStatusKey(service);
                  },
              .status =
                  [this](const RolloutState& state) {
                    return m_ports.codec.WriteRolloutStatus(state);
                  }},
          [this](const RolloutState& state) {
            m_rollouts.MergeUnconfirmed(state, m_ports.clock.Now());
          }) {
  m_rollouts.SetRollBackTime(m_settings.rollout.roll_back);
}

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
  if (m_settings.memory_mebibytes > 0) {
    m_edge.buffers.SetMaximum(size_t{m_settings.memory_mebibytes} * 1024 *
                              1024 / kBufferShareDivisor);
  }
  EventLoop& loop = m_ports.loop;
  const Clock& clock = m_ports.clock;
  BOOST_LEAF_ASSIGN(
      m_caller_service,
      HttpService::Create(loop, clock, m_settings.callers,
                          ToServerLimits(CallerLimits{}),
                          [this](const ServerExchangePtr& exchange) {
                            boost::intrusive_ptr<ForwardedRequest>(
                                new ForwardedRequest(m_edge, exchange))
                                ->Start();
                          }));
  const size_t descriptors = m_settings.maximum_descriptors;
  m_caller_service->SetMaximumConnections(
      descriptors - std::min(kReservedDescriptors, descriptors / 2));
  m_caller_service->SetBudget(m_request_memory);
  ShareRequestMemory(CallerLimits{});
  m_caller_service->SetCloseHandler(
      [](const ConnectionClose& close) { LogNotableClose(close); });
  const ServerLimits internal{
      .parse = {.body_bytes = kMaximumInternalBodyBytes}};
  const size_t internal_share = descriptors / kInternalShareDivisor;
  BOOST_LEAF_ASSIGN(
      m_readiness_service,
      HttpService::Create(loop, clock, m_settings.readiness, internal,
                          [this](const ServerExchangePtr& exchange) {
                            ServeReadiness(exchange);
                          }));
  BOOST_LEAF_ASSIGN(
      m_metrics_service,
      HttpService::Create(loop, clock, m_settings.metrics, internal,
                          [this](const ServerExchangePtr& exchange) {
                            ServeMetrics(exchange);
                          }));
  BOOST_LEAF_ASSIGN(
      m_peer_service,
      HttpService::Create(loop, clock, m_settings.peers, ServerLimits{},
                          [this](const ServerExchangePtr& exchange) {
                            m_snapshot_relay.Serve(exchange);
                          }));
  if (const size_t memory = size_t{m_settings.memory_mebibytes} * 1024 * 1024;
      memory > 0) {
    m_caller_service->SetMaximumOutput(memory / kOutputShareDivisor);
    m_peer_service->SetMaximumOutput(memory / kPeerOutputShareDivisor);
    m_readiness_service->SetMaximumOutput(memory / kInternalOutputShareDivisor);
    m_metrics_service->SetMaximumOutput(memory / kInternalOutputShareDivisor);
  }
  m_readiness_service->SetMaximumConnections(
      std::min(kMaximumReadinessConnections, internal_share));
  m_metrics_service->SetMaximumConnections(
      std::min(kMaximumMetricsConnections, internal_share));
  m_peer_service->SetMaximumConnections(
      std::min(kMaximumPeerConnections, internal_share));
  BOOST_LEAF_ASSIGN(
      m_digest_exchange,
      DigestExchange::Create(
          loop, m_settings.peers,
          DigestExchange::Handlers{
              .node =
                  [this](const NodeDigest& digest, const SocketAddress& from) {
                    OnDigest(digest, from);
                  },
              .data_center =
                  [this](const DataCenterDigest& digest) {
                    OnDataCenterDigest(digest);
                  },
              .histories =
                  [this](const FollowedHistories& histories) {
                    OnPeerHistories(histories);
                  },
              .confirmation =
                  [this](const ListConfirmation& confirmation) {
                    OnListConfirmation(confirmation);
                  },
              .quarantine =
                  [this](const TimedQuarantineState& state) {
                    OnQuarantineState(state);
                  },
              .worker_limits =
                  [this](const WorkerLimitState& state) {
                    OnWorkerLimits(state);
                  },
              .endpoint_capacities =
                  [this](const EndpointCapacityState& state) {
                    OnEndpointCapacities(state);
                  },
              .stream_origin =
                  [this](const StreamOriginReport& report) {
                    m_stream_origins.OnReport(report);
                  },
              .stream_query =
                  [this](const StreamOriginQuery& query,
                         const SocketAddress& from) {
                    m_stream_origins.OnQuery(query, from);
                  },
              .read_prefixes =
                  [this](const ReadPrefixes& message,
                         const SocketAddress& from) {
                    OnReadPrefixes(message, from);
                  },
              .rollout_announcement =
                  [this](const RolloutAnnouncement& announcement,
                         const SocketAddress& from) {
                    OnRolloutAnnouncement(announcement, from);
                  },
              .rollout_report =
                  [this](const RolloutReport& report) {
                    OnRolloutReport(report);
                  }}));
  return {};
}

void Gateway::ShareRequestMemory(const CallerLimits& limits) {
  const size_t memory = size_t{m_settings.memory_mebibytes} * 1024 * 1024;
  if (memory == 0) {
    return;
  }
  const size_t largest = size_t{limits.body_bytes} + kRequestOverheadBytes;
  m_request_memory->SetParts(
      BodyBudget::Part{
          .maximum_bytes = std::max(memory / kLongBodyShareDivisor, largest),
          .reserve_bytes = largest},
      BodyBudget::Part{.maximum_bytes = memory / kShortBodyShareDivisor});
}

void Gateway::LogNotReceived() {
  const HttpServiceCounts& counts = m_caller_service->counts();
  const TimePoint now = m_ports.clock.Now();
  if (counts == m_logged_counts ||
      now - m_counts_logged_at < kNotReceivedLogInterval) {
    return;
  }
  m_logged_counts = counts;
  m_counts_logged_at = now;
  LogEvent(
      gateway_log::kRequestsNotReceived,
      {{"stalled_bodies", std::to_string(counts.stalled_bodies)},
       {"waiting_bodies", std::to_string(counts.waiting_bodies)},
       {"short_requests", std::to_string(counts.short_requests)},
       {"late_bodies", std::to_string(counts.late_bodies)},
       {"connections", std::to_string(counts.connections)},
       {"request_bytes", std::to_string(m_request_memory->reserved_bytes())}});
}

void Gateway::LogUnread() {
  HttpServiceCounts counts;
  size_t held_bytes = 0;
  for (const HttpService* service :
       {m_caller_service.get(), m_readiness_service.get(),
        m_metrics_service.get(), m_peer_service.get()}) {
    counts.unread_outputs += service->counts().unread_outputs;
    counts.late_readers += service->counts().late_readers;
    held_bytes += service->output_bytes();
  }
  const TimePoint now = m_ports.clock.Now();
  if (counts == m_logged_unread ||
      now - m_unread_logged_at < kNotReceivedLogInterval) {
    return;
  }
  m_logged_unread = counts;
  m_unread_logged_at = now;
  LogEvent(gateway_log::kResponsesUnread,
           {{"unread_outputs", std::to_string(counts.unread_outputs)},
            {"late_readers", std::to_string(counts.late_readers)},
            {"output_bytes", std::to_string(held_bytes)}});
}

void Gateway::StartFollowing() {
  m_endpoints.SetLearnsCapacity(m_settings.learns_endpoint_capacity);
  m_started_at = m_ports.clock.Now();
  m_list_draw = std::uniform_real_distribution<double>(0.0, 1.0)(m_edge.random);
  m_ports.store_history.Subscribe(
      [this](StoreHistory before, StoreHistory current) {
        OnStoreHistory(before, current);
      });
  m_config_follower = MakeConfigFollower();
  m_endpoint_follower = MakeEndpointFollower();
  m_node_follower = MakeNodeFollower();
  m_snapshot_relay.AddFollower(kConfigSnapshotName, *m_config_follower,
                               [this](const std::vector<StoreItem>& items) {
                                 for (const StoreItem& item : items) {
                                   OnConfigItem(item, ItemSource::kPeer);
                                 }
                                 if (!m_config_follower->has_state()) {
                                   ReplaceRolloutOrders(items);
                                 }
                               });
  m_snapshot_relay.AddFollower(kEndpointsSnapshotName, *m_endpoint_follower);
  m_snapshot_relay.AddFollower(kNodesSnapshotName, *m_node_follower);
  m_snapshot_relay.SetRefusedHandler([this] { CatchUpWithPeers(); });
  m_limit_record.Restore(
      [this](const CustomerUsages& usages,
             std::chrono::system_clock::time_point recorded_at) {
        const TimePoint now = m_ports.clock.Now();
        m_limits.SetRecordedUsage(
            usages, now - std::chrono::duration_cast<Duration>(
                              m_cluster_time.At(now) - recorded_at));
      });
  m_quarantine_record.Restore();
  m_version_record.Restore();
  m_stream_record.Restore();
  m_config_follower->Start();
  m_endpoint_follower->Start();
  m_node_follower->Start();
  Announce();
  m_lease.Start();
  ApplySharedLimits();

  RunEvery(kTableInterval, [this] { StepTables(); });
  RunEvery(kDutyInterval, [this] { StepDuties(); });
  RunEvery(kHousekeepingInterval, [this] {
    m_endpoints.CloseExpiredConnections(m_ports.clock.Now());
    ApplySharedLimits();
    CatchUpWithPeers();
    LogNotReceived();
    LogUnread();
  });
  RunEvery(kLogFlushInterval, [] { FlushLog(); });
  SendDigest();
  LogEvent(gateway_log::kStarted,
           {{"node", m_settings.node.value()},
            {"incarnation", std::to_string(m_incarnation)},
            {"data_center", m_settings.data_center.value()},
            {"callers", FormatSocketAddress(m_settings.callers)},
            {"peers", FormatSocketAddress(m_settings.peers)}});
}

void Gateway::RunEvery(Duration interval, std::function<void()> step) {
  m_ports.loop.Schedule(interval, [this, interval, step = std::move(step)] {
    // NOTE: Scheduled first, so that a step that fails is run again.
    RunEvery(interval, step);
    step();
  });
}

void Gateway::Announce() {
  const std::string key = NodeKey(m_settings.node);
  const std::string value =
      FormatNodeEntry(NodeEntry{.address = m_settings.peers,
                                .data_center = m_settings.data_center,
                                .link_megabits = m_settings.link_megabits});
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

void Gateway::ApplySharedLimits() {
  const size_t known = m_peers.peers().size() + 1;
  m_limits.SetNodes(known, ResponsiveNodeCount());
  m_limits.SetStaleness(ViewAge() + kDigestDelay);
  m_edge.retry_budget_config =
      RetryBudgetConfig{.ratio = m_settings.retry_budget_ratio,
                        .slack = m_settings.retry_budget_slack,
                        .window = m_settings.retry_budget_window,
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

void Gateway::StepTables() {
  const TimePoint now = m_ports.clock.Now();
  m_endpoint_catalog.Step(now);
  m_peers.Step(now,
               std::max(kMinimumPeerTimeout, kMissedDigests * DigestInterval()),
               std::max(kMinimumPeerTimeout, kMissedDigests * ViewAge()));
  m_data_centers.Step(now, kDataCenterLifetime);
  ApplyEndpointChanges();
  UpdateConfigLag();
  StepEndpointFreshness();
  StepCompetition();
  StepHistories();
  m_stream_origins.Step();
  RecordStreams();
  StepQuarantine();
  StepWorkerLimits();
  StepPrefixes();
  StepRollouts();
  StepCapacities();
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

bool Gateway::IsReady() const {
  return !m_is_stopping && m_edge.config != nullptr && !m_was_config_late &&
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
  const HttpServiceCounts& counts = m_caller_service->counts();
  double endpoint_connections = 0;
  for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
    endpoint_connections += endpoint->connections.open_count();
  }
  m_gateway_metrics.Set(GatewayGauges{
      .open_requests = static_cast<double>(m_edge.open_requests),
      .caller_connections =
          static_cast<double>(m_caller_service->connections()),
      .endpoints = static_cast<double>(m_endpoints.endpoints().size()),
      .endpoint_connections = endpoint_connections,
      .missing_endpoints = static_cast<double>(m_endpoint_catalog.missing()),
      .peers_heard = static_cast<double>(ResponsiveNodeCount() - 1),
      .config_version =
          m_edge.config ? static_cast<double>(m_edge.config->version) : 0.0,
      .store_lost = m_config_follower->is_store_lost() ? 1.0 : 0.0,
      .store_history = static_cast<double>(m_ports.store_history.current()),
      .config_revision =
          static_cast<double>(m_config_follower->as_of().revision),
      .holds_duty = m_lease.MayAct() ? 1.0 : 0.0,
      .dropped_log_lines = static_cast<double>(DroppedLogLines()),
      .failed_tasks = static_cast<double>(m_ports.loop.failed_tasks()),
      .quarantined_prompts =
          static_cast<double>(m_quarantine.quarantined_count()),
      .limited_workers = static_cast<double>(m_worker_limits.limited_count()),
      .rollouts_running = static_cast<double>(m_rollouts.Reports().size()),
      .slow_endpoints = static_cast<double>(m_slow_endpoints.size()),
      .relay_served_bytes =
          static_cast<double>(m_snapshot_relay.traffic().served_bytes),
      .relay_fetched_bytes =
          static_cast<double>(m_snapshot_relay.traffic().fetched_bytes),
      .relay_wasted_bytes =
          static_cast<double>(m_snapshot_relay.traffic().wasted_bytes),
      .config_behind_seconds =
          std::chrono::duration<double>(ConfigLag()).count(),
      .endpoints_confirmed_seconds =
          std::chrono::duration<double>(m_ports.clock.Now() -
                                        m_list_freshness.confirmed.at)
              .count(),
      .competing = m_was_competing ? 1.0 : 0.0,
      .buffered_bytes = static_cast<double>(m_edge.buffers.reserved_bytes()),
      .request_bytes = static_cast<double>(m_request_memory->reserved_bytes()),
      .stalled_bodies = static_cast<double>(counts.stalled_bodies),
      .waiting_bodies = static_cast<double>(counts.waiting_bodies),
      .refused_short_requests = static_cast<double>(counts.short_requests),
      .late_bodies = static_cast<double>(counts.late_bodies),
      .displaced_connections = static_cast<double>(counts.connections)});
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
  m_edge.stops_at = MakeStopPlan(m_stop_since, m_settings.grace_period).ends_at;
  m_lease.Stop();
  // Announces the release of the duty lease without delay.
  SendDigestNow();
  m_caller_service->CloseAfterResponses();
}

void Gateway::CheckStopped() {
  const TimePoint now = m_ports.clock.Now();
  const StopPlan plan = MakeStopPlan(m_stop_since, m_settings.grace_period);
  m_edge.stops_at = plan.ends_at;
  if (now < plan.drains_until) {
    return;
  }
  m_edge.is_shutting_down = true;
  m_caller_service->CloseIdleConnections();
  m_caller_service->RefuseUnfinishedRequests(
      {RetryAfterHeader(kShutdownRetryAfter)});
  if (now >= plan.ends_at && !m_has_ended_requests) {
    m_has_ended_requests = true;
    EndOpenRequests();
    // NOTE: Their responses are sent before the next check.
    return;
  }
  const bool is_delivering =
      m_edge.open_requests > 0 || m_caller_service->IsDelivering();
  if (is_delivering && now < plan.exits_at) {
    return;
  }
  if (is_delivering) {
    m_stop_reason = StopReason::kGracePeriodExpired;
  }
  LogEvent(gateway_log::kStopped,
           {{"open_requests", std::to_string(m_edge.open_requests)}});
  m_ports.loop.Stop();
}

void Gateway::EndOpenRequests() {
  if (m_edge.open_requests == 0) {
    return;
  }
  m_stop_reason = StopReason::kGracePeriodExpired;
  LogEvent(gateway_log::kRequestsEnded,
           {{"open_requests", std::to_string(m_edge.open_requests)}});
  while (!m_edge.open_request_list.empty()) {
    m_edge.open_request_list.front().EndForStop();
  }
}

void Gateway::ForgetOldRoutes() {
  std::erase_if(m_edge.response_times, [this](const auto& entry) {
    return std::none_of(
        m_edge.config->routes.begin(), m_edge.config->routes.end(),
        [&](const Route& route) { return route.name == entry.first; });
  });
}

void Gateway::Reload(const GatewaySettings& settings) {
  // NOTE: Addresses and the node's name cannot change at run time.
  m_settings.grace_period = settings.grace_period;
  m_settings.retry_budget_ratio = settings.retry_budget_ratio;
  m_settings.retry_budget_slack = settings.retry_budget_slack;
  m_settings.retry_budget_window = settings.retry_budget_window;
  m_settings.limit_window = settings.limit_window;
  m_settings.config_bound = settings.config_bound;
  m_settings.drain_bound = settings.drain_bound;
  m_settings.shares_room_fairly = settings.shares_room_fairly;
  m_settings.rollout = settings.rollout;
  m_rollout_controller.SetTerms(settings.rollout);
  m_rollouts.SetRollBackTime(settings.rollout.roll_back);
  m_settings.learns_endpoint_capacity = settings.learns_endpoint_capacity;
  m_endpoints.SetLearnsCapacity(settings.learns_endpoint_capacity);
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
