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

constexpr Duration kOutcomeCheckInterval = std::chrono::milliseconds(20);
// Time to flush the last responses to the sockets before the loop stops.
constexpr Duration kFlushTime = std::chrono::milliseconds(200);

HttpServerOptions ServerOptions(const Settings& settings) {
  return HttpServerOptions{
      .address = settings.listen_address,
      .port = settings.listen_port,
      .maximum_body_bytes = settings.maximum_body_bytes,
      .maximum_held_body_bytes = settings.maximum_held_body_bytes,
      .maximum_header_bytes = settings.maximum_header_bytes,
      .maximum_connections = settings.maximum_connections,
      .request_timeout = settings.request_timeout,
      .idle_timeout = settings.idle_timeout};
}

// Returns the address of one socket. `ip` has been validated by the settings.
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

// The components in the order of their dependencies.
struct EntryDaemon::Components {
  explicit Components(Settings s)
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
  auto components = std::make_unique<Components>(std::move(settings));
  CallerApi* caller_api = &components->caller_api;
  BOOST_LEAF_AUTO(
      server,
      HttpServer::Create(components->loop, ServerOptions(components->settings),
                         [caller_api](const HttpExchangePtr& exchange) {
                           caller_api->Handle(exchange);
                         }));
  components->server = std::move(server);
  BOOST_LEAF_CHECK(components->network.Open(AddressOf(
      components->settings.listen_address, components->server->port())));
  return std::unique_ptr<EntryDaemon>(new EntryDaemon(std::move(components)));
}

EntryDaemon::EntryDaemon(std::unique_ptr<Components> components)
    : m_components(std::move(components)) {}

EntryDaemon::~EntryDaemon() {
  // Destroying the server ends the sessions of open exchanges; the posted tasks
  // then release them.
  m_components->server.reset();
  m_components->loop.RunPosted();
}

uint16_t EntryDaemon::port() const {
  return m_components->server->port();
}

StopResult EntryDaemon::Run() {
  for (const int signal_number : {SIGTERM, SIGINT}) {
    m_components->loop.OnSignal(signal_number, [this] { OnStopSignal(); });
  }
  CallerApi* caller_api = &m_components->caller_api;
  m_components->endpoints.OnLeaving([caller_api](const EndpointId& endpoint) {
    caller_api->HandleEndpointLeaving(endpoint);
  });
  m_components->bundle_updater.Start();
  m_components->lease.Start();
  m_components->endpoints.Start();
  m_components->admission.Start();
  LogEvent(daemon_log::kStarted,
           {{"node", m_components->settings.node.value()},
            {"address", m_components->settings.listen_address},
            {"port", std::to_string(port())}});
  m_components->loop.Run();
  LogEvent(
      daemon_log::kStopped,
      {{"exit_code", std::to_string(static_cast<int>(m_components->result))}});
  return m_components->result;
}

void EntryDaemon::OnStopSignal() {
  const std::string open_requests =
      std::to_string(m_components->caller_api.OpenRequests());
  if (m_components->is_stopping) {
    LogEvent(daemon_log::kStopForced,
             {{"reason", "second signal"}, {"open_requests", open_requests}});
    Stop(StopResult::kForced);
    return;
  }
  m_components->is_stopping = true;
  m_components->network.Leave();
  LogEvent(daemon_log::kStopRequested, {{"open_requests", open_requests}});
  m_components->loop.Schedule(m_components->settings.drain_timeout, [this] {
    LogEvent(daemon_log::kStopForced, {{"reason", "drain timeout expired"}});
    Stop(StopResult::kDrainTimedOut);
  });
  m_components->caller_api.StartDraining(
      m_components->settings.handover_delay,
      [this] { StopWhenOutcomesRecorded(); });
}

void EntryDaemon::StopWhenOutcomesRecorded() {
  if (m_components->claims.IsIdle()) {
    Stop(StopResult::kDrained);
    return;
  }
  // Outcomes are still being written to the store.
  m_components->loop.Schedule(kOutcomeCheckInterval,
                              [this] { StopWhenOutcomesRecorded(); });
}

void EntryDaemon::Stop(StopResult result) {
  m_components->result = result;
  m_components->server->StopAccepting();
  if (result != StopResult::kDrained) {
    m_components->caller_api.AbortAll();
  }
  m_components->loop.Schedule(kFlushTime,
                              [this] { m_components->loop.Stop(); });
}

}  // namespace pistachiowalk
