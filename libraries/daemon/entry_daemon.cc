#include "daemon/entry_daemon.h"

#include <csignal>

#include "base/system_clock.h"
#include "daemon/active_bundle.h"
#include "daemon/admission_service.h"
#include "daemon/audit_trail.h"
#include "daemon/bundle_updater.h"
#include "daemon/caller_api.h"
#include "daemon/claim_service.h"
#include "daemon/daemon_context.h"
#include "daemon/daemon_log_events.h"
#include "daemon/endpoint_directory.h"
#include "daemon/lease_service.h"
#include "daemon/metrics.h"
#include "daemon/node_network.h"
#include "daemon/routing_service.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "store/http_store.h"

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;

constexpr Duration kRecordCheckInterval = std::chrono::milliseconds(20);
// Time for the last answers to leave the sockets.
constexpr Duration kFlushTime = std::chrono::milliseconds(200);

HttpServerOptions ServerOptions(const Settings& settings) {
  return HttpServerOptions{
      .address = settings.listen_address,
      .port = settings.listen_port,
      .maximum_body_bytes = settings.maximum_body_bytes,
      .maximum_header_bytes = settings.maximum_header_bytes,
      .maximum_connections = settings.maximum_connections,
      .request_timeout = settings.request_timeout,
      .idle_timeout = settings.idle_timeout};
}

// Address and port of one socket; the settings hold checked addresses.
NodeAddress AddressOf(const std::string& ip, uint16_t port) {
  const auto address = ParseNodeAddress(ip + ":1");
  return NodeAddress{.ip = address ? address->ip : 0, .port = port};
}

NodeNetworkOptions NetworkOptions(const Settings& settings) {
  return NodeNetworkOptions{
      .node = settings.node,
      .data_center = settings.data_center,
      .listen = AddressOf(settings.cluster_address, settings.cluster_port),
      .keys = settings.cluster_keys,
      .seeds = settings.cluster_seeds};
}

}  // namespace

// The parts of a daemon, in the order in which they depend on one another.
struct EntryDaemon::Parts {
  explicit Parts(Settings s)
      : settings(std::move(s)),
        client(loop),
        store(client, settings.store_url),
        claims(loop, clock, store, metrics.registry(), settings.node),
        endpoints(loop,
                  clock,
                  client,
                  settings.vm_list_url,
                  settings.vm_list_interval,
                  metrics),
        routing(clock,
                endpoints,
                bundle,
                settings.place,
                EndpointKey(settings.node.value())),
        audit(clock, settings.node),
        network(loop, clock, metrics.registry(), NetworkOptions(settings)),
        admission(loop, clock, network, bundle, routing),
        bundle_updater(loop,
                       clock,
                       store,
                       network,
                       settings.signatures,
                       bundle,
                       metrics,
                       audit),
        lease(loop, clock, store, settings.node, settings.data_center, audit),
        context{loop,          clock,          client,
                bundle,        endpoints,      claims,
                metrics,       routing,        admission,
                network,       audit,          lease,
                settings.node, settings.place, settings.data_center},
        caller_api(context) {
    network.OnChange([this](const Member& member) {
      audit.Record({.actor = settings.node.value(),
                    .subject = "member/" + member.node.value(),
                    .action = MemberStateName(member.state),
                    .after = std::to_string(member.incarnation)});
    });
  }

  Settings settings;
  SystemClock clock;
  EventLoop loop;
  Metrics metrics;
  HttpClient client;
  HttpStore store;
  ClaimService claims;
  ActiveBundle bundle;
  EndpointDirectory endpoints;
  RoutingService routing;
  AuditTrail audit;
  NodeNetwork network;
  AdmissionService admission;
  BundleUpdater bundle_updater;
  LeaseService lease;
  DaemonContext context;
  CallerApi caller_api;
  std::unique_ptr<HttpServer> server;
  bool is_stopping = false;
  StopResult result = StopResult::kDrained;
};

leaf::result<std::unique_ptr<EntryDaemon>> EntryDaemon::Create(
    Settings settings) {
  auto parts = std::make_unique<Parts>(std::move(settings));
  CallerApi* caller_api = &parts->caller_api;
  BOOST_LEAF_AUTO(
      server, HttpServer::Create(parts->loop, ServerOptions(parts->settings),
                                 [caller_api](const HttpExchangePtr& exchange) {
                                   caller_api->Handle(exchange);
                                 }));
  parts->server = std::move(server);
  BOOST_LEAF_CHECK(parts->network.Open(
      AddressOf(parts->settings.listen_address, parts->server->port())));
  return std::unique_ptr<EntryDaemon>(new EntryDaemon(std::move(parts)));
}

EntryDaemon::EntryDaemon(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts)) {}

EntryDaemon::~EntryDaemon() {
  // Open exchanges end their sessions, which the loop then releases.
  m_parts->server.reset();
  m_parts->loop.RunPosted();
}

uint16_t EntryDaemon::port() const {
  return m_parts->server->port();
}

StopResult EntryDaemon::Run() {
  for (const int signal_number : {SIGTERM, SIGINT}) {
    m_parts->loop.OnSignal(signal_number, [this] { OnStopSignal(); });
  }
  CallerApi* caller_api = &m_parts->caller_api;
  m_parts->endpoints.OnLeaving([caller_api](const EndpointId& endpoint) {
    caller_api->NoticeLeaving(endpoint);
  });
  m_parts->bundle_updater.Start();
  m_parts->lease.Start();
  m_parts->endpoints.Start();
  m_parts->admission.Start();
  LogEvent(daemon_log::kStarted, {{"node", m_parts->settings.node.value()},
                                  {"address", m_parts->settings.listen_address},
                                  {"port", std::to_string(port())}});
  m_parts->loop.Run();
  LogEvent(daemon_log::kStopped,
           {{"exit_code", std::to_string(static_cast<int>(m_parts->result))}});
  return m_parts->result;
}

void EntryDaemon::OnStopSignal() {
  const std::string open = std::to_string(m_parts->caller_api.OpenRequests());
  if (m_parts->is_stopping) {
    LogEvent(daemon_log::kStopForced,
             {{"reason", "second signal"}, {"open_requests", open}});
    Stop(StopResult::kForced);
    return;
  }
  m_parts->is_stopping = true;
  m_parts->network.Leave();
  LogEvent(daemon_log::kStopRequested, {{"open_requests", open}});
  m_parts->loop.Schedule(m_parts->settings.drain_timeout, [this] {
    LogEvent(daemon_log::kStopForced, {{"reason", "drain limit"}});
    Stop(StopResult::kDrainTimedOut);
  });
  m_parts->caller_api.StartDraining(m_parts->settings.handover_delay,
                                    [this] { StopWhenRecorded(); });
}

void EntryDaemon::StopWhenRecorded() {
  if (m_parts->claims.IsIdle()) {
    Stop(StopResult::kDrained);
    return;
  }
  // Outcomes are still on their way to the store.
  m_parts->loop.Schedule(kRecordCheckInterval, [this] { StopWhenRecorded(); });
}

void EntryDaemon::Stop(StopResult result) {
  m_parts->result = result;
  m_parts->server->StopAccepting();
  if (result != StopResult::kDrained) {
    m_parts->caller_api.AbortAll();
  }
  m_parts->loop.Schedule(kFlushTime, [this] { m_parts->loop.Stop(); });
}

}  // namespace pistachiowalk
