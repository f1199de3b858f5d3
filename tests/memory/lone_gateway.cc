#include "memory/lone_gateway.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "http1/client_connection.h"
#include "http1/message_writer.h"
#include "platform/platform_deployment_codec.h"

namespace pistachiowalk::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// No other test uses this network.
constexpr const char* kIp = "127.15.0.1";
constexpr uint16_t kCallersPort = 18221;
constexpr uint16_t kReadinessPort = 18224;
constexpr uint16_t kStorePort = 18225;
constexpr uint16_t kCloudPort = 18226;
constexpr uint16_t kEndpointPort = 18689;
constexpr uint16_t kPeersPort = 17600;
constexpr uint16_t kMetricsPort = 9464;
constexpr const char* kFolder = PISTACHIOWALK_BINARY_DIR "/memory";

SocketAddress At(uint16_t port) {
  return SocketAddress{.ip = kIp, .port = port};
}

}  // namespace

LoneGateway::LoneGateway(const LoneGatewayLimits& limits)
    : m_settings{.node = "node",
                 .data_center = "place",
                 .ip = kIp,
                 .regions = {{"place", "region"}},
                 .callers = At(kCallersPort),
                 .readiness = At(kReadinessPort),
                 .peers_port = kPeersPort,
                 .store = At(kStorePort),
                 .cloud = At(kCloudPort),
                 .link_megabits = 200,
                 .maximum_descriptors = limits.descriptors,
                 .memory_mebibytes = limits.memory_mebibytes},
      m_store(m_loop, m_settings.store),
      m_cloud(m_loop,
              m_settings.cloud,
              {.usage = [](const std::string&,
                           uint64_t,
                           uint64_t,
                           const std::string&) {},
               .order = [](const std::string&, uint64_t) {}}),
      m_endpoint(m_loop,
                 m_checker,
                 "endpoint",
                 "plain",
                 At(kEndpointPort),
                 /*seed=*/1) {
  m_store.Put(kFakeConfigKey,
              WriteConfig(FakeConfig{
                  .version = 1,
                  .routes = {FakeRoute{.path = "/call/", .service = "plain"}},
                  .services = {"plain"},
                  .body_bytes = limits.body_bytes}));
  m_store.Put(FakeEndpointEntryKey("endpoint"),
              m_endpoint.Entry("place", At(kEndpointPort), false));
  std::filesystem::create_directories(kFolder);
  const std::string settings_file = std::string(kFolder) + "/node.json";
  std::ofstream(settings_file) << WriteSettings(m_settings);
  const std::string log_file = std::string(kFolder) + "/node.log";
  std::filesystem::remove(log_file);
  m_process = std::make_unique<ChildProcess>(
      "services/pistachiowalk_gateway/pistachiowalk-gateway",
      std::vector<std::string>{"--config", settings_file}, log_file);
  constexpr int kMaximumTries = 200;
  for (int i = 0; Ask(0) != 200; ++i) {
    if (i == kMaximumTries) {
      std::fprintf(stderr, "the gateway does not answer\n");
      std::abort();
    }
    RunUntil([] { return false; }, milliseconds(50));
  }
}

SocketAddress LoneGateway::metrics() const {
  return At(kMetricsPort);
}

SocketAddress LoneGateway::peers() const {
  return At(kPeersPort);
}

bool LoneGateway::RunUntil(const std::function<bool()>& is_over,
                           Duration limit) {
  if (is_over()) {
    return true;
  }
  const TimePoint end = m_clock.Now() + limit;
  std::function<void()> check = [&] {
    if (is_over() || m_clock.Now() > end) {
      m_loop.Stop();
    } else {
      m_loop.Schedule(milliseconds(5), check);
    }
  };
  check();
  m_loop.Run();
  return is_over();
}

int LoneGateway::Ask(size_t body_bytes) {
  std::string bytes;
  AppendRequestHead(bytes, "POST", "/call/x",
                    {{"Host", "soak.example"},
                     {"Content-Length", std::to_string(body_bytes)}});
  return Send(m_settings.callers, bytes + std::string(body_bytes, 'x'));
}

int LoneGateway::CheckReadiness() {
  std::string bytes;
  AppendRequestHead(bytes, "GET",
                    platform::PlatformDeploymentCodec().ReadinessPath(),
                    {{"Host", "soak.example"}});
  return Send(m_settings.readiness, bytes);
}

int LoneGateway::Send(const SocketAddress& address, const std::string& bytes) {
  const ClientConnectionPtr connection(new ClientConnection(
      TcpConnection::Connect(m_loop, address), ParseLimits{}));
  int status = 0;
  std::optional<ResponseEnd> response_end;
  connection->Send(bytes,
                   ClientConnection::ResponseHandlers{
                       .head =
                           [&](const ResponseHead& head) {
                             status = head.status;
                             return true;
                           },
                       .body = [](std::string_view) {},
                       .end = [&](ResponseEnd end) { response_end = end; }});
  RunUntil([&] { return response_end.has_value(); }, seconds(10));
  connection->Close();
  return response_end == ResponseEnd::kComplete ? status : 0;
}

}  // namespace pistachiowalk::testing
