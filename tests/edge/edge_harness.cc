#include "edge/edge_harness.h"

#include <unistd.h>

#include <set>

#include "edge/forwarded_request.h"
#include "platform/header_names.h"

namespace pistachiowalk::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Each test runs in its own process and uses its own ports.
constexpr uint16_t kFirstPort = 20000;
constexpr uint16_t kPortsPerTest = 16;
constexpr uint16_t kTests = 600;
constexpr const char* kLoopback = "127.0.0.1";

template <class Result, class Maker>
Result Require(const Maker& make) {
  return boost::leaf::try_handle_all(make, [] { return Result(); });
}

Route MakeRoute(const std::string& prefix, RouteKind kind) {
  return Route{.name = prefix,
               .host = "a.example",
               .path_prefix = prefix,
               .kind = kind,
               .targets = {{.service = ServiceName("svc")}},
               .timeout = milliseconds(1500),
               .latency_target = milliseconds(300),
               .gap_target = milliseconds(100),
               .maximum_attempts = 2};
}

}  // namespace

struct ScriptedEndpoint::Peer {
  TcpConnectionPtr connection;
};

ScriptedEndpoint::ScriptedEndpoint(EventLoop& loop,
                                   uint16_t port,
                                   std::vector<Step> steps)
    : m_loop(loop), m_steps(std::move(steps)) {
  m_listener = Require<std::unique_ptr<TcpListener>>([&] {
    return TcpListener::Create(
        loop, SocketAddress{.ip = kLoopback, .port = port},
        [this](TcpConnectionPtr connection) {
          ++connections;
          auto peer = std::make_shared<Peer>(Peer{std::move(connection)});
          m_peers.push_back(peer);
          peer->connection->SetHandlers(TcpConnection::Handlers{
              .connected = nullptr,
              .received = [this, peer] { OnReceived(peer); },
              .ended = [this](ConnectionEnd) { ++closed; }});
        });
  });
}

void ScriptedEndpoint::OnReceived(const std::shared_ptr<Peer>& peer) {
  std::string& input = peer->connection->input();
  RequestParser parser{ParseLimits{}};
  const ParseProgress progress = parser.Feed(input);
  if (progress.status != ParseStatus::kDone) {
    return;
  }
  requests.push_back(input.substr(0, progress.consumed));
  input.erase(0, progress.consumed);
  const std::string* id =
      FindHeader(parser.head().headers, platform::kAttemptIdHeader);
  if (m_next >= m_steps.size()) {
    return;
  }
  const Step step = m_steps[m_next++];
  std::string text = step.text;
  const size_t placeholder = text.find("{id}");
  if (placeholder != std::string::npos && id != nullptr) {
    text.replace(placeholder, 4, *id);
  }
  peer->connection->Send(text);
  if (step.after == After::kClose) {
    peer->connection->CloseWhenSent(milliseconds(10));
  } else if (step.after == After::kReset) {
    // The text is sent at the end of this event loop iteration.
    m_loop.Schedule(milliseconds(20), [peer] { peer->connection->Close(); });
  } else if (step.after == After::kCrash) {
    m_loop.Schedule(milliseconds(5), [this] { Crash(); });
  }
}

void ScriptedEndpoint::Crash() {
  m_listener.reset();
  for (const auto& peer : m_peers) {
    peer->connection->Close();
  }
}

void ScriptedEndpoint::SendToAll(const std::string& bytes) {
  for (const auto& peer : m_peers) {
    peer->connection->Send(bytes);
  }
}

void ScriptedEndpoint::CloseAll() {
  for (const auto& peer : m_peers) {
    peer->connection->CloseWhenSent(milliseconds(10));
  }
}

EdgeHarness::EdgeHarness()
    : quarantine(SystemClock().Now() - seconds(60)),
      m_registry(std::make_shared<prometheus::Registry>()),
      m_metrics(*m_registry),
      m_cluster_time(m_clock.Now(), m_clock.WallNow()),
      m_endpoints(
          loop,
          [](uint64_t) { return OutstandingWork{}; },
          worker_limits),
      m_port(static_cast<uint16_t>(kFirstPort +
                                   getpid() % kTests * kPortsPerTest)),
      m_next_port(m_port) {
  config.version = 3;
  config.routes = {MakeRoute("/call/", RouteKind::kIdempotent),
                   MakeRoute("/act/", RouteKind::kNonIdempotent),
                   MakeRoute("/stream/", RouteKind::kStream),
                   MakeRoute("/resumable/", RouteKind::kStream)};
  config.routes[3].is_resumable = true;
  config.services[ServiceName("svc")] = ServiceSpec{.name = ServiceName("svc")};
  config.customers[CustomerName("acme")] =
      CustomerSpec{.name = CustomerName("acme")};
  config.api_keys["key"] = CustomerName("acme");
  context = std::make_unique<EdgeContext>(EdgeContext{
      .loop = loop,
      .clock = m_clock,
      .wire = m_format,
      .endpoints = m_endpoints,
      .limits = limits,
      .usage = usage,
      .cluster_time = m_cluster_time,
      .quarantine = quarantine,
      .worker_limits = worker_limits,
      .rollouts = rollouts,
      .metrics = m_metrics,
      .data_center = DataCenterName("near"),
      .regions = {{DataCenterName("near"), RegionName("r")},
                  {DataCenterName("far"), RegionName("s")}},
      .config = std::make_shared<const ServingConfig>(config),
      .are_endpoints_known = true,
      .retry_budget_config = RetryBudgetConfig{.slack = 100.0},
      .note_stream_begun =
          [this](const RequestId& first_attempt, const StreamOrigin& origin) {
            stream_origins.Record(KeyOfStream(first_attempt), origin,
                                  m_clock.Now());
          },
      .find_stream_origin =
          [this](const RequestId& first_attempt, const auto& callback) {
            FindStreamOrigin(first_attempt, callback);
          },
      .only_version = [this](const ServiceName&) { return OnlyVersion(); },
      .refresh_list = [this](const auto& callback) { RefreshList(callback); },
      .random = std::mt19937_64(7)});
  m_callers = Require<std::unique_ptr<HttpService>>([&] {
    return HttpService::Create(
        loop, m_clock, SocketAddress{.ip = kLoopback, .port = m_port},
        ServerLimits{}, [this](const ServerExchangePtr& exchange) {
          boost::intrusive_ptr<ForwardedRequest>(
              new ForwardedRequest(*context, exchange))
              ->Start();
        });
  });
  StepLimits();
}

void EdgeHarness::StepLimits() {
  worker_limits.Step(
      [](uint64_t, double) { return LimitSender{.may_send = true}; },
      m_clock.Now());
  loop.Schedule(milliseconds(100), [this] { StepLimits(); });
}

void EdgeHarness::FindStreamOrigin(
    const RequestId& first_attempt,
    const std::function<void(const std::optional<StreamOrigin>&)>& callback) {
  loop.Post([this, key = KeyOfStream(first_attempt), callback] {
    callback(stream_origins.Find(key, m_clock.Now()));
  });
}

void EdgeHarness::RefreshList(
    const std::function<void(bool is_complete)>& callback) {
  ++list_refreshes;
  loop.Schedule(milliseconds(100),
                [this, callback] { callback(is_list_complete); });
}

std::optional<SoftwareVersion> EdgeHarness::OnlyVersion() const {
  std::set<SoftwareVersion> versions;
  for (const auto& [id, entry] : m_endpoint_catalog.entries()) {
    versions.insert(entry.version);
  }
  return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

EndpointId EdgeHarness::AddEntry(uint16_t port, const std::string& version) {
  const bool is_first = m_endpoint_catalog.entries().empty();
  EndpointId id("i-" + std::to_string(port));
  m_endpoint_catalog.Apply(
      EndpointEntry{.id = id,
                    .service = ServiceName("svc"),
                    .address = {.ip = kLoopback, .port = port},
                    .data_center = DataCenterName(is_first ? "near" : "far"),
                    .version = SoftwareVersion(version),
                    .slots = 4},
      m_clock.Now());
  m_endpoints.Follow(m_endpoint_catalog);
  return id;
}

ScriptedEndpoint& EdgeHarness::AddEndpoint(
    std::vector<ScriptedEndpoint::Step> steps,
    const std::string& version) {
  const uint16_t port = ++m_next_port;
  m_scripted.push_back(
      std::make_unique<ScriptedEndpoint>(loop, port, std::move(steps)));
  m_scripted.back()->endpoint_id = AddEntry(port, version);
  return *m_scripted.back();
}

void EdgeHarness::RemoveEndpoint(const ScriptedEndpoint& endpoint) {
  m_endpoint_catalog.Remove(endpoint.endpoint_id, m_clock.Now());
  m_endpoints.Follow(m_endpoint_catalog);
}

void EdgeHarness::FollowAgain() {
  for (const auto& [id, entry] : std::map(m_endpoint_catalog.entries())) {
    EndpointEntry listed = entry;
    ++listed.sequence;
    m_endpoint_catalog.Apply(listed, m_clock.Now());
  }
  m_endpoints.Follow(m_endpoint_catalog);
}

void EdgeHarness::RestartEndpoints() {
  for (const auto& [id, entry] : std::map(m_endpoint_catalog.entries())) {
    EndpointEntry started = entry;
    ++started.incarnation;
    m_endpoint_catalog.Apply(started, m_clock.Now());
  }
  m_endpoints.Follow(m_endpoint_catalog);
}

void EdgeHarness::AddUnreachableEndpoint() {
  AddEntry(++m_next_port, "v1");
}

void EdgeHarness::Wait(milliseconds time) {
  bool is_over = false;
  loop.Schedule(time, [&] { is_over = true; });
  RunUntil([&] { return is_over; });
}

bool EdgeHarness::RunUntil(const std::function<bool()>& is_over) {
  const TimerId limit = loop.Schedule(seconds(5), [this] { loop.Stop(); });
  std::function<void()> check = [&] {
    if (is_over()) {
      loop.Stop();
    } else {
      loop.Schedule(milliseconds(1), check);
    }
  };
  check();
  loop.Run();
  loop.Cancel(limit);
  return is_over();
}

TcpConnectionPtr EdgeHarness::OpenRequest(const std::string& headers,
                                          const std::string& path,
                                          const std::string& method) {
  TcpConnectionPtr connection = TcpConnection::Connect(
      loop, SocketAddress{.ip = kLoopback, .port = m_port});
  connection->Send(method + " " + path +
                   " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n" +
                   headers + "\r\n");
  return connection;
}

void EdgeHarness::SendAndLeave(const std::string& headers,
                               const std::string& path,
                               const std::string& method,
                               milliseconds time) {
  const TcpConnectionPtr connection = OpenRequest(headers, path, method);
  Wait(time);
  connection->Close();
}

std::string EdgeHarness::Send(const std::string& headers,
                              const std::string& path,
                              const std::string& method) {
  std::string received;
  bool has_ended = false;
  const TcpConnectionPtr connection = OpenRequest(headers, path, method);
  connection->SetHandlers(TcpConnection::Handlers{
      .connected = nullptr,
      .received =
          [&] {
            received += connection->input();
            connection->input().clear();
          },
      .ended = [&](ConnectionEnd) { has_ended = true; }});
  RunUntil([&] { return has_ended; });
  connection->Close();
  return received;
}

}  // namespace pistachiowalk::testing
