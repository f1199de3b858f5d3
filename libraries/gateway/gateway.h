#pragma once

#include <prometheus/registry.h>

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/system_clock.h"
#include "duty/duty_lease.h"
#include "duty/limit_record.h"
#include "duty/quarantine_record.h"
#include "duty/rollout_records.h"
#include "duty/stream_record.h"
#include "duty/usage_ledger.h"
#include "duty/usage_record.h"
#include "duty/usage_reporter.h"
#include "duty/version_record.h"
#include "duty/worker_scaler.h"
#include "edge/edge_context.h"
#include "edge/edge_metrics.h"
#include "edge/wire_format.h"
#include "following/change_lag.h"
#include "following/cluster_time.h"
#include "following/data_center_table.h"
#include "following/digest_bounds.h"
#include "following/endpoint_catalog.h"
#include "following/endpoint_freshness.h"
#include "following/peer_table.h"
#include "following/prefix_follower.h"
#include "gateway/deployment_codec.h"
#include "gateway/digest_exchange.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/list_refresher.h"
#include "gateway/snapshot_relay.h"
#include "gateway/stream_origin_directory.h"
#include "http1/http_service.h"
#include "net/event_loop.h"
#include "rollout/rollout_announcement.h"
#include "rollout/rollout_controller.h"
#include "rollout/rollout_node.h"
#include "serving/customer_limits.h"
#include "serving/prefix_announcements.h"
#include "serving/prompt_quarantine.h"
#include "serving/service_versions.h"
#include "serving/worker_limits.h"
#include "upstream/endpoint_registry.h"

namespace pistachiowalk {

class CloudPort;
class StoreHistoryTracker;
class StorePort;

// The interfaces through which a gateway accesses its deployment. They must
// outlive the gateway.
struct GatewayPorts {
  EventLoop& loop;
  const Clock& clock;
  StorePort& store;
  PrefixStore& prefix_store;
  StoreHistoryTracker& store_history;
  CloudPort& cloud;
  const WireFormat& wire;
  const DeploymentCodec& codec;
};

enum class StopReason { kStopped, kGracePeriodExpired };

// An entry node: accepts callers' requests and forwards them to endpoints
// according to the config in the store.
class Gateway {
 public:
  // Errors: NetError if an address cannot be bound.
  static boost::leaf::result<std::unique_ptr<Gateway>> Create(
      GatewaySettings settings,
      const GatewayPorts& ports);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Runs the loop until BeginStop() was called and no request is open. Requests
  // that are still open shortly before the end of the grace period are ended.
  StopReason Run();
  // Starts the shutdown: accepted requests are completed first.
  void BeginStop();
  // Applies the settings that may change at run time.
  void Reload(const GatewaySettings& settings);

 private:
  Gateway(GatewaySettings settings, const GatewayPorts& ports);
  boost::leaf::result<void> Listen();
  // Divides the memory for requests between long and short bodies.
  void ShareRequestMemory(const CallerLimits& limits);
  // Logs what was refused of requests that were being received, at intervals.
  void LogNotReceived();
  // Logs how many connections were closed as clients did not read, at
  // intervals.
  void LogUnread();
  std::unique_ptr<PrefixFollower> MakeConfigFollower();
  std::unique_ptr<PrefixFollower> MakeEndpointFollower();
  std::unique_ptr<PrefixFollower> MakeNodeFollower();
  void StartFollowing();
  void Announce();

  // Called when the store has named a later history than any before.
  void OnStoreHistory(StoreHistory before, StoreHistory current);
  void OnConfigItem(const StoreItem& item, ItemSource source);
  void ReplaceEndpoints(const std::vector<StoreItem>& items, ItemSource source);
  void OnEndpointChange(const StoreChange& change);
  void OnNodeItem(const StoreItem& item);
  void ApplyEndpointChanges();
  void ApplySharedLimits();

  void OnDigest(const NodeDigest& digest, const SocketAddress& from);
  void OnDataCenterDigest(const DataCenterDigest& digest);
  void OnPeerHistories(const FollowedHistories& histories);
  void OnWorkerLimits(const WorkerLimitState& state);
  void OnEndpointCapacities(const EndpointCapacityState& state);
  void OnQuarantineState(const TimedQuarantineState& state);
  // Sends a digest and schedules the next one.
  void SendDigest();
  void SendDigestNow();
  NodeDigest MakeDigest(TimePoint now) const;
  // What a customer may use in a window; 0 if it has no limit.
  double AllowedUsage(const CustomerName& customer) const;
  // Logs `left_out` if it differs from `logged`, the last one of its scope.
  static void LogLeftOut(std::string_view scope,
                         const LeftOutEntries& left_out,
                         LeftOutEntries& logged);
  FollowedHistories MakeHistories() const;
  // Sends the histories of the followed prefixes if they have changed or are
  // due to be repeated.
  void StepHistories();
  // Sums `own`, this node's current digest, and those of the peers in this data
  // centre.
  DataCenterDigest MakeDataCenterDigest(const NodeDigest& own, TimePoint now);
  // Sends the usage counts of this node to a duty holder in another data
  // centre.
  void SendUsageToDutyHolder(const NodeDigest& digest);
  void SendDataCenterDigest(const NodeDigest& own, TimePoint now);
  std::vector<SocketAddress> AddressesOf(
      const std::vector<NodeId>& nodes) const;
  // Number of nodes that are not silent, including this one.
  size_t ResponsiveNodeCount() const;
  // Outstanding work of all other nodes at an endpoint.
  OutstandingWork PeerWorkAt(uint64_t endpoint_key) const;
  bool IsDutyHeld() const;
  // Decides whether this node watches the store itself or only follows its
  // peers.
  void UpdateWatchMode();
  // Fetches changes from peers that this node did not receive from the store.
  void CatchUpWithPeers();
  // Whether a peer has seen a change of the config that this node lacks.
  bool IsConfigBehind() const;
  // The peers that may have a snapshot of a followed prefix.
  template <class ChangeOf>
  std::vector<SnapshotPeer> SnapshotPeers(
      StoreHistory FollowedHistories::*history,
      ChangeOf change_of) const;
  // Fetches a snapshot from the best peer with a change that this node lacks.
  template <class ChangeOf>
  void CatchUpPrefix(const char* name,
                     const PrefixFollower& follower,
                     StoreHistory FollowedHistories::*history,
                     ChangeOf change_of);
  // Compares the config with what peers report.
  void UpdateConfigLag();
  // How long ago this node first heard of the oldest config that it lacks; zero
  // if it lacks none.
  Duration ConfigLag() const;
  // Whether that is longer than config changes may take.
  bool IsConfigLate() const;
  void OnListConfirmation(const ListConfirmation& confirmation);
  // Asks whether the list of endpoints is complete, and tells peers, where that
  // is due; decides which endpoints may be used.
  void StepEndpointFreshness();
  // Asks the store for changes of the list. Returns whether it was asked; only
  // then `ended` is called.
  bool AskForEndpoints(PrefixFollower::AskCallback ended);
  // Fetches the endpoints from a peer though none is known to have newer ones.
  void AskPeersForEndpoints();
  void LogListState(ListState state);
  // Interval between digests to the nodes that receive them directly.
  Duration DigestInterval() const;
  // Interval between data centre digests; zero in a full mesh.
  Duration DataCenterInterval() const;
  // Maximum age of another node's view of this node, without the network delay.
  Duration ViewAge() const;

  StreamOriginDirectory::Ports MakeStreamPorts();
  // The nodes that keep a stream's origin, or may.
  std::vector<SocketAddress> StreamKeepers(StreamKey key, size_t count) const;
  // The only version that may have begun streams of the service, if it is
  // known for certain.
  std::optional<SoftwareVersion> OnlyVersion(const ServiceName& service) const;
  // Compares the versions of the known endpoints with those known before.
  void UpdateServiceVersions();
  void RecordServiceVersions();
  // Asks the store for the versions that have served, and those that do.
  // Returns whether it was asked; only then `ended` is called.
  bool AskForVersions(ListRefresher::Callback ended);
  // Records this node's streams of services with several versions.
  void RecordStreams();
  // Interval between a node's records, by the store's rate of writes.
  Duration StreamRecordInterval() const;
  bool MayLearnOrigins() const;
  // Milliseconds since 1970, by the cluster's time.
  int64_t ClusterMilliseconds() const;

  TimedQuarantineState MakeQuarantineState(TimePoint now) const;
  // `maximum_age` bounds the age of `state` by the sender's clock.
  void MergeQuarantine(const TimedQuarantineState& state, Duration maximum_age);
  void SendQuarantine(const std::vector<NodeId>& receivers);
  // Sends the state if it has changed or is due to be repeated.
  void StepQuarantine();
  void RecordQuarantine();
  void LogQuarantineChanges();

  void SendWorkerLimits(std::vector<WorkerLimitReport> reports,
                        const std::vector<NodeId>& receivers);
  // Nodes that may send to limited workers of a data centre.
  std::vector<NodeId> LimitSenderCandidates(
      const DataCenterName& data_center) const;
  // Computes which limited workers this node may send to, and its shares.
  void ComputeLimitShares(TimePoint now);
  // Computes the shares if that is due, and sends the limits that have changed
  // or are due to be repeated.
  void StepWorkerLimits();

  // Called when an endpoint has read a prompt with this shared prefix.
  void NotePrefixRead(uint64_t endpoint_key,
                      std::span<const PrefixBlock> shared_prefix);
  void OnReadPrefixes(const ReadPrefixes& message, const SocketAddress& from);
  // The data centre of the peer with this address; nullopt if it is unknown.
  std::optional<DataCenterName> DataCenterOf(const SocketAddress& peer) const;
  void ApplyReadPrefixes(const std::vector<ReadPrefix>& prefixes);
  // Announces the prefixes that were read.
  void StepPrefixes();

  // Tells the edge what customers have used of late, while they compete.
  void StepCompetition();

  // The orders that the store holds, after a list or from a peer.
  void ReplaceRolloutOrders(const std::vector<StoreItem>& items);
  void OnRolloutOrderChange(const StoreChange& change);
  // Returns whether the orders in force have changed.
  bool ReadRolloutOrder(const StoreItem& item);
  void ApplyRolloutOrders();
  // Whether each order's state is known, or that the store has none.
  bool AreRolloutsKnown() const;
  void OnRolloutAnnouncement(const RolloutAnnouncement& announcement,
                             const SocketAddress& from);
  void OnRolloutReport(const RolloutReport& report);
  // Tells what this node has last heard of the holder.
  void SendRollouts(const std::vector<NodeId>& receivers);
  void StepRollouts();
  // Reads the records of roll-outs that this node hears nothing of.
  void RestoreRollouts(TimePoint now);
  // The duty of the holder: decides, writes and tells the operator.
  void DecideRollouts(TimePoint now);
  RolloutInput MakeRolloutInput(TimePoint now) const;
  // Logs a new decision. One that is repeated with other shares before it is in
  // the store is written as it was first, so that the write ends.
  const RolloutState& PendingDecision(const RolloutDecision& decision);
  // Whether this node, as the holder, may confirm the state to all nodes.
  bool IsConfirmable(const RolloutState& state) const;
  // The holder tells all nodes the states if they have changed or are due to be
  // repeated.
  void AnnounceRollouts(TimePoint now);
  // Sends this node's counts to the nodes that may decide.
  void ReportRollouts(TimePoint now);
  void LogRolloutStates();
  // Of the service's roll-out, if it has one without outcome.
  std::optional<RolloutStage> UndecidedStage(const ServiceName& service) const;

  // Sends and logs what was found out of the endpoints' capacity when due.
  void StepCapacities();
  void SendCapacities(TimePoint now);
  // Logs the endpoints that became slow, or are so no longer.
  void LogCapacities(TimePoint now);

  void StepTables();
  void StepDuties();
  void RecordLimits();
  void ScaleWorkers(const ServiceSpec& service);
  bool IsReady() const;
  void ServeReadiness(const ServerExchangePtr& exchange) const;
  void ServeMetrics(const ServerExchangePtr& exchange);
  void CheckStopped();
  // Ends the requests that are still open, with what is known of each.
  void EndOpenRequests();
  // Forgets the response times of routes that the config no longer has.
  void ForgetOldRoutes();
  // Runs `step` every `interval` until the process ends.
  void RunEvery(Duration interval, std::function<void()> step);

  GatewaySettings m_settings;
  GatewayPorts m_ports;
  uint64_t m_incarnation;
  std::shared_ptr<prometheus::Registry> m_registry;
  EdgeMetrics m_edge_metrics;
  GatewayMetrics m_gateway_metrics;
  ClusterTime m_cluster_time;
  EndpointCatalog m_endpoint_catalog;
  PeerTable m_peers;
  DataCenterTable m_data_centers;
  DigestPlan m_digest_plan;
  CustomerLimits m_limits;
  UsageLedger m_usage;
  PromptQuarantine m_quarantine;
  WorkerLimits m_worker_limits;
  RolloutNode m_rollouts;
  EndpointRegistry m_endpoints;
  ServiceVersions m_service_versions;
  StreamOriginDirectory m_stream_origins;
  ListRefresher m_list_refresher;
  EdgeContext m_edge;
  SnapshotRelay m_snapshot_relay;
  DutyLease m_lease;
  UsageRecord m_usage_record;
  UsageReporter m_usage_reporter;
  WorkerScaler m_worker_scaler;
  LimitRecord m_limit_record;
  QuarantineRecord m_quarantine_record;
  VersionRecord m_version_record;
  StreamRecord m_stream_record;
  RolloutController m_rollout_controller;
  RolloutRecords m_rollout_records;
  std::unique_ptr<PrefixFollower> m_config_follower;
  std::unique_ptr<PrefixFollower> m_endpoint_follower;
  std::unique_ptr<PrefixFollower> m_node_follower;
  std::unique_ptr<DigestExchange> m_digest_exchange;
  std::shared_ptr<BodyBudget> m_request_memory = std::make_shared<BodyBudget>();
  std::unique_ptr<HttpService> m_caller_service;
  std::unique_ptr<HttpService> m_readiness_service;
  std::unique_ptr<HttpService> m_metrics_service;
  std::unique_ptr<HttpService> m_peer_service;
  // What was logged last, and when.
  HttpServiceCounts m_logged_counts;
  // Those of responses that were not read, over all services.
  HttpServiceCounts m_logged_unread;
  TimePoint m_unread_logged_at{};
  TimePoint m_counts_logged_at{};
  uint64_t m_digest_sequence = 0;
  uint64_t m_data_center_sequence = 0;
  TimePoint m_data_center_digest_sent_at{};
  TimePoint m_duty_holder_digest_sent_at{};
  // What was left out of the last digests.
  LeftOutEntries m_left_out_of_node;
  LeftOutEntries m_left_out_of_data_center;
  // The histories that were sent last, and when.
  FollowedHistories m_sent_histories;
  TimePoint m_histories_sent_at{};
  // The revision of the quarantines that was sent last, and when.
  uint64_t m_sent_quarantine_revision = 0;
  // The revision of the endpoints whose versions were compared last, and when.
  uint64_t m_versions_endpoints_revision = 0;
  TimePoint m_versions_updated_at{};
  TimePoint m_versions_restore_tried_at{};
  TimePoint m_streams_recorded_at{};
  TimePoint m_started_at{};
  TimePoint m_quarantine_sent_at{};
  TimePoint m_quarantine_changed_at{};
  TimePoint m_quarantine_restore_tried_at{};
  // An order in force, and its text in the store.
  struct KnownRolloutOrder {
    RolloutOrder order;
    std::string text;
  };
  // By key in the store.
  std::map<std::string, KnownRolloutOrder> m_rollout_orders;
  TimePoint m_rollouts_read_at{};
  TimePoint m_rollouts_decided_at{};
  // Of the grant under which the records were read last.
  FencingNumber m_rollout_fence = 0;
  // The last announcement that was heard or sent, without its states.
  RolloutAnnouncement m_heard_announcement;
  TimePoint m_rollouts_heard_at{};
  // The revision of the roll-outs that was announced last, and when.
  uint64_t m_announced_rollouts_revision = 0;
  TimePoint m_rollouts_announced_at{};
  TimePoint m_rollouts_changed_at{};
  // The counts that were reported last, and when.
  std::vector<RolloutReport> m_sent_rollout_reports;
  TimePoint m_rollouts_reported_at{};
  uint64_t m_rollout_report_sequence = 0;
  // What was logged last, by service.
  std::map<ServiceName, RolloutState> m_logged_rollouts;
  // The holder's last decisions, by service.
  std::map<ServiceName, RolloutState> m_pending_rollouts;
  uint64_t m_logged_rollouts_revision = 0;
  // The revision of the workers' limits that was sent last, and when.
  uint64_t m_sent_limits_revision = 0;
  PrefixAnnouncements m_prefix_announcements;
  // What the representative of a data centre forwards to the others.
  ReadPrefixes m_prefixes_to_forward;
  TimePoint m_prefixes_sent_at{};
  uint64_t m_limit_shares_revision = 0;
  TimePoint m_limit_shares_at{};
  TimePoint m_limits_sent_at{};
  uint64_t m_capacities_sequence = 0;
  bool m_has_sent_capacities = false;
  TimePoint m_capacities_sent_at{};
  TimePoint m_capacities_logged_at{};
  // Endpoints that are slower than usual for their service, as last logged.
  std::set<EndpointId> m_slow_endpoints;
  // Since when peers have had changes that this node lacks, by snapshot name.
  std::map<std::string, TimePoint> m_behind_since;
  // Of the config, by position in the store and by the operator's version.
  ChangeLag<StorePosition> m_config_position_lag;
  ChangeLag<uint64_t> m_config_version_lag;
  bool m_was_config_late = false;
  ListFreshness m_list_freshness;
  ListState m_list_state = ListState::kConfirmed;
  // Fixed for this run of the node; see IsAskDue().
  double m_list_draw = 0.0;
  // What was told last to peers, and when.
  TimePoint m_told_confirmed_at{};
  TimePoint m_told_list_at{};
  TimePoint m_peers_asked_at{};
  TimePoint m_competition_updated_at{};
  bool m_was_competing = false;
  // This node cannot read the store's config; one of another build may.
  bool m_is_config_unreadable = false;
  bool m_was_ready = false;
  bool m_is_stopping = false;
  TimePoint m_stop_since{};
  bool m_has_ended_requests = false;
  StopReason m_stop_reason = StopReason::kStopped;
};

}  // namespace pistachiowalk
