#include <utility>

#include "base/event_log.h"
#include "gateway/gateway.h"
#include "gateway/gateway_log_events.h"
#include "gateway/gateway_names.h"
#include "store/store_history_tracker.h"

// Part of Gateway: applies changes of the store to the config, endpoints and
// peers.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Node entries change rarely, and digests announce new nodes sooner.
constexpr FollowerTimings kNodeFollowerTimings{.watch_timeout =
                                                   milliseconds(15000)};

}  // namespace

ServerLimits ToServerLimits(const CallerLimits& limits) {
  return ServerLimits{.parse = {.header_bytes = limits.header_bytes,
                                .body_bytes = limits.body_bytes},
                      .header_timeout = limits.header_timeout,
                      .idle_timeout = limits.idle_timeout,
                      .announces_idle_timeout = true};
}

std::unique_ptr<PrefixFollower> Gateway::MakeConfigFollower() {
  return std::make_unique<PrefixFollower>(
      m_ports.loop, m_ports.prefix_store, m_ports.codec.ConfigPrefix(),
      FollowerTimings{}, m_edge.random(),
      PrefixFollower::Handlers{
          .replaced =
              [this](const std::vector<StoreItem>& items, ItemSource source) {
                for (const StoreItem& item : items) {
                  OnConfigItem(item, source);
                }
                ReplaceRolloutOrders(items);
              },
          .changed =
              [this](const StoreChange& change) {
                OnRolloutOrderChange(change);
                if (!change.is_removed) {
                  OnConfigItem(change.item, ItemSource::kStore);
                }
              },
          .store_lost = [this] { m_lease.NoteStoreLost(); },
          .store_recovered = [] {}});
}

std::unique_ptr<PrefixFollower> Gateway::MakeEndpointFollower() {
  return std::make_unique<PrefixFollower>(
      m_ports.loop, m_ports.prefix_store, m_ports.codec.EndpointsPrefix(),
      FollowerTimings{}, m_edge.random(),
      PrefixFollower::Handlers{
          .replaced =
              [this](const std::vector<StoreItem>& items, ItemSource source) {
                ReplaceEndpoints(items, source);
              },
          .changed =
              [this](const StoreChange& change) { OnEndpointChange(change); },
          .restored =
              [this] {
                m_endpoint_catalog.NoteStoreRestored(m_ports.clock.Now());
              },
          .confirmed =
              [this] {
                NoteStoreAnswer(m_list_freshness, m_ports.clock.Now());
              },
          .ask_failed =
              [this] {
                NoteStoreFailure(m_list_freshness, m_ports.clock.Now());
              },
          .store_lost =
              [this] { m_endpoint_catalog.NoteStoreLost(m_ports.clock.Now()); },
          .store_recovered =
              [this] {
                m_endpoint_catalog.NoteStoreBack(m_ports.clock.Now());
              }});
}

std::unique_ptr<PrefixFollower> Gateway::MakeNodeFollower() {
  return std::make_unique<PrefixFollower>(
      m_ports.loop, m_ports.prefix_store, std::string(kGatewayNodesPrefix),
      kNodeFollowerTimings, m_edge.random(),
      PrefixFollower::Handlers{
          .replaced =
              [this](const std::vector<StoreItem>& items, ItemSource) {
                for (const StoreItem& item : items) {
                  OnNodeItem(item);
                }
              },
          .changed =
              [this](const StoreChange& change) {
                if (change.is_removed) {
                  m_peers.RemoveEntry(NodeId(
                      change.item.key.substr(kGatewayNodesPrefix.size())));
                } else {
                  OnNodeItem(change.item);
                }
              },
          .store_lost = [] {},
          .store_recovered = [this] { Announce(); }});
}

void Gateway::OnStoreHistory(StoreHistory before, StoreHistory current) {
  if (before != 0) {
    LogEvent(
        gateway_log::kStoreHistoryChanged,
        {{"from", std::to_string(before)}, {"to", std::to_string(current)}});
    m_usage_reporter.NoteRestored();
    m_quarantine_record.NoteStoreRestored();
    m_version_record.NoteStoreRestored();
    m_stream_record.NoteStoreRestored();
    m_rollout_records.Forget();
    Announce();
  }
  m_lease.NoteHistory(current);
  m_config_follower->NoteHistory(current);
  m_endpoint_follower->NoteHistory(current);
  m_node_follower->NoteHistory(current);
}

void Gateway::OnConfigItem(const StoreItem& item, ItemSource source) {
  if (item.key != m_ports.codec.ConfigKey()) {
    return;
  }
  std::string reason;
  std::optional<ServingConfig> config =
      m_ports.codec.ReadConfig(item.value, reason);
  if (!config) {
    LogEvent(gateway_log::kConfigRefused,
             {{"revision", std::to_string(item.revision)}, {"reason", reason}});
    m_is_config_unreadable = true;
    return;
  }
  m_is_config_unreadable = false;
  if (m_edge.config && config->version <= m_edge.config->version) {
    return;
  }
  const uint64_t previous = m_edge.config ? m_edge.config->version : 0;
  m_edge.config = std::make_shared<const ServingConfig>(std::move(*config));
  m_edge.config_revision = item.revision;
  ForgetOldRoutes();
  const milliseconds resumable_time = ResumableTime(*m_edge.config);
  m_stream_origins.ExtendLifetime(resumable_time);
  m_service_versions.ExtendLifetime(resumable_time);
  m_caller_service->SetLimits(ToServerLimits(m_edge.config->caller_limits));
  ShareRequestMemory(m_edge.config->caller_limits);
  ApplySharedLimits();
  LogEvent(gateway_log::kConfigInForce,
           {{"version", std::to_string(m_edge.config->version)},
            {"previous", std::to_string(previous)},
            {"revision", std::to_string(item.revision)},
            {"history", std::to_string(m_ports.store_history.current())},
            {"source", source == ItemSource::kStore ? "store" : "peer"},
            {"bytes", std::to_string(item.value.size())},
            {"routes", std::to_string(m_edge.config->routes.size())},
            {"customers", std::to_string(m_edge.config->customers.size())}});
}

void Gateway::ReplaceEndpoints(const std::vector<StoreItem>& items,
                               ItemSource source) {
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
  if (source == ItemSource::kPeer) {
    m_endpoint_catalog.NoteStoreBack(m_ports.clock.Now());
  }
  m_endpoint_catalog.Replace(entries, m_ports.clock.Now());
  ApplyEndpointChanges();
  if (!std::exchange(m_edge.are_endpoints_known, true) &&
      !m_rollout_orders.empty()) {
    ApplyRolloutOrders();
  }
}

void Gateway::OnEndpointChange(const StoreChange& change) {
  const TimePoint now = m_ports.clock.Now();
  std::string reason;
  const std::optional<EndpointEntry> entry =
      change.is_removed ? std::nullopt
                        : m_ports.codec.ReadEndpoint(change.item, reason);
  if (entry) {
    m_endpoint_catalog.Apply(*entry, now);
  } else {
    if (!change.is_removed) {
      LogEvent(gateway_log::kEntryRefused,
               {{"key", change.item.key}, {"reason", reason}});
    }
    m_endpoint_catalog.Remove(m_ports.codec.EndpointOfKey(change.item.key),
                              now);
  }
  ApplyEndpointChanges();
}

void Gateway::OnNodeItem(const StoreItem& item) {
  const std::optional<NodeEntry> entry = ParseNodeEntry(item.value);
  if (!entry) {
    LogEvent(
        gateway_log::kEntryRefused,
        {{"key", item.key}, {"reason", "the value is not a valid node entry"}});
    return;
  }
  m_peers.ApplyEntry(NodeId(item.key.substr(kGatewayNodesPrefix.size())),
                     *entry);
}

void Gateway::ApplyEndpointChanges() {
  m_endpoints.Follow(m_endpoint_catalog);
  UpdateServiceVersions();
}

}  // namespace pistachiowalk
