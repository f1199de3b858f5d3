#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/system_clock.h"
#include "net/event_loop.h"
#include "platform/fake_cloud_service.h"
#include "platform/fake_endpoint.h"
#include "platform/fake_platform_config.h"
#include "platform/fake_store_service.h"
#include "soak/invariant_checker.h"
#include "support/child_process.h"

namespace pistachiowalk::testing {

// Limits of the gateway's machine and of its callers.
struct LoneGatewayLimits {
  uint32_t memory_mebibytes = 160;
  uint32_t descriptors = 4100;
  uint64_t body_bytes = 4 * 1024 * 1024;
};

// A gateway process on loopback with one endpoint.
class LoneGateway {
 public:
  // Returns once the gateway answers requests; aborts the test if it does not.
  explicit LoneGateway(const LoneGatewayLimits& limits);

  SocketAddress callers() const { return m_settings.callers; }
  SocketAddress readiness() const { return m_settings.readiness; }
  SocketAddress metrics() const;
  SocketAddress peers() const;
  const ChildProcess& process() const { return *m_process; }
  FakeEndpoint& endpoint() { return m_endpoint; }
  EventLoop& loop() { return m_loop; }
  bool IsRunning() { return !m_process->Poll(); }
  // Runs the loop until `is_over` returns true, for at most `limit`.
  bool RunUntil(const std::function<bool()>& is_over, Duration limit);
  // Sends one request on a new connection. Returns its status, 0 without a
  // complete response.
  int Ask(size_t body_bytes);
  // The status of the load balancer's readiness check.
  int CheckReadiness();

 private:
  int Send(const SocketAddress& address, const std::string& bytes);

  SystemClock m_clock;
  EventLoop m_loop;
  InvariantChecker m_checker{SoakBounds{}};
  FakeSettings m_settings;
  FakeStoreService m_store;
  FakeCloudService m_cloud;
  FakeEndpoint m_endpoint;
  std::unique_ptr<ChildProcess> m_process;
};

}  // namespace pistachiowalk::testing
