#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "base/system_clock.h"
#include "http1/http_service.h"
#include "net/event_loop.h"
#include "soak/invariant_checker.h"

namespace pistachiowalk::testing {

enum class FakeEndpointMode : uint8_t {
  kServing,
  // Answers a share of its calls with 500.
  kFailing,
  // Executes requests and aborts their responses.
  kBreaking,
  // Accepts requests and never responds.
  kHanging,
  // Begins responses and sends bytes that are none until the caller closes.
  kEndless,
};

// What is wrong with all endpoints of one version.
struct FakeVersionFault {
  // Share of the responses that have the fault.
  double share = 0.0;
  // They come this much later; if zero, they fail.
  std::chrono::milliseconds delay{0};
  // The endpoints have the fault from this time on.
  TimePoint since{};
};

// Parts of prompts that crash endpoints start with this.
inline constexpr const char* kDeadlyPartPrefix = "dead";

// One endpoint of a service. Executes calls and event streams, and reports each
// execution to the invariant checker.
class FakeEndpoint {
 public:
  FakeEndpoint(EventLoop& loop,
               InvariantChecker& checker,
               std::string id,
               std::string service,
               SocketAddress address,
               uint64_t seed);
  ~FakeEndpoint();
  FakeEndpoint(const FakeEndpoint&) = delete;
  FakeEndpoint& operator=(const FakeEndpoint&) = delete;

  void SetMode(FakeEndpointMode mode) { m_mode = mode; }
  // Called when a response begins whose prompt has a part that starts with
  // kDeadlyPartPrefix; it should destroy the endpoint.
  void SetCrashHandler(std::function<void(const std::string& id)> handler) {
    m_crash = std::move(handler);
  }
  // The version in its entry.
  void SetVersion(std::string version) { m_version = std::move(version); }
  void SetVersionFault(const FakeVersionFault& fault) {
    m_version_fault = fault;
  }
  // Makes the responses to calls longer by this.
  void SetCallBytes(size_t bytes) { m_call_bytes = bytes; }
  // Names a limit in all responses, or none.
  void SetNamedLimit(std::optional<double> limit) { m_named_limit = limit; }
  // Says in all responses that the endpoint leaves.
  void SayLeaving() { m_says_leaving = true; }
  // Turns all requests away and asks for a pause of this length, or none.
  void SetWantedPause(std::optional<std::chrono::milliseconds> pause) {
    m_wanted_pause = pause;
  }
  // The endpoint's entry in the store.
  std::string Entry(const std::string& data_center,
                    const SocketAddress& reached_at,
                    bool is_leaving) const;
  const std::string& id() const { return m_id; }
  const std::string& service() const { return m_service_name; }

 private:
  struct Stream;

  void Serve(const ServerExchangePtr& exchange);
  // Whether the response to `id` has the fault of the version, and how much
  // later it comes.
  bool DrawVersionFault(const std::string& id);
  void ServeCall(const ServerExchangePtr& exchange, const std::string& id);
  void SendNext(const std::shared_ptr<Stream>& stream);
  void SendEndlessly(const ServerExchangePtr& exchange,
                     const std::string& part);
  // The headers of a response of this endpoint, with the limit it names.
  HttpHeaders MakeHeaders(const std::string& id);

  EventLoop& m_loop;
  SystemClock m_clock;
  InvariantChecker& m_checker;
  std::string m_id;
  std::string m_service_name;
  std::string m_version = "1";
  uint64_t m_started_at;
  FakeEndpointMode m_mode = FakeEndpointMode::kServing;
  std::optional<FakeVersionFault> m_version_fault;
  size_t m_call_bytes = 0;
  std::function<void(const std::string& id)> m_crash;
  std::optional<double> m_named_limit;
  bool m_says_leaving = false;
  std::optional<std::chrono::milliseconds> m_wanted_pause;
  std::mt19937_64 m_random;
  // Expires with the endpoint, so that scheduled tasks do nothing after a
  // crash.
  std::shared_ptr<int> m_lifetime = std::make_shared<int>(0);
  std::unique_ptr<HttpService> m_http;
};

}  // namespace pistachiowalk::testing
