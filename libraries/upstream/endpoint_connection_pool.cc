#include "upstream/endpoint_connection_pool.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Idle timeout if the endpoint states none, and the margin before its end in
// which a connection is not reused: a request sent while the endpoint closes
// the connection may be lost.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(4);
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

// Limits for responses of endpoints. Event streams are forwarded as they
// arrive; other responses are buffered completely.
constexpr ParseLimits kResponseLimits{.header_bytes = 32 * 1024,
                                      .body_bytes = 64 * 1024 * 1024};

}  // namespace

EndpointConnectionPool::EndpointConnectionPool(EventLoop& loop,
                                               SocketAddress address)
    : m_loop(loop), m_address(std::move(address)) {}

EndpointConnectionPool::~EndpointConnectionPool() {
  CloseIdle();
}

void EndpointConnectionPool::CloseUnusable(TimePoint now) {
  m_idle.remove_if([now](const IdleConnection& idle) {
    const bool is_usable =
        idle.connection->CanReuse() && now < idle.usable_until;
    if (!is_usable) {
      idle.connection->Close();
    }
    return !is_usable;
  });
}

bool EndpointConnectionPool::CanAcquire(TimePoint now) {
  CloseUnusable(now);
  return !m_idle.empty() || m_maximum == 0 || open_count() < m_maximum;
}

std::optional<AcquiredConnection> EndpointConnectionPool::TryAcquire(
    TimePoint now,
    ConnectionChoice choice) {
  if (!CanAcquire(now)) {
    return std::nullopt;
  }
  const bool needs_new = choice == ConnectionChoice::kNewOnly;
  if (needs_new && m_maximum != 0 && open_count() >= m_maximum) {
    m_idle.front().connection->Close();
    m_idle.pop_front();
  }
  ++m_in_use;
  if (!m_idle.empty() && !needs_new) {
    ClientConnectionPtr connection = std::move(m_idle.back().connection);
    m_idle.pop_back();
    connection->SetIdleEndHandler(nullptr);
    return AcquiredConnection{.connection = std::move(connection)};
  }
  return AcquiredConnection{
      .connection = new ClientConnection(
          TcpConnection::Connect(m_loop, m_address), kResponseLimits),
      .is_new = true};
}

void EndpointConnectionPool::Release(const ClientConnectionPtr& connection,
                                     std::optional<Duration> idle_timeout,
                                     TimePoint now) {
  --m_in_use;
  if (!connection->CanReuse()) {
    connection->Close();
    return;
  }
  const Duration usable =
      idle_timeout.value_or(kDefaultIdleTimeout) - kIdleMargin;
  if (usable <= Duration::zero()) {
    connection->Close();
    return;
  }
  m_idle.push_back(
      IdleConnection{.connection = connection, .usable_until = now + usable});
}

void EndpointConnectionPool::CloseExpired(TimePoint now) {
  CloseUnusable(now);
}

void EndpointConnectionPool::CloseIdle() {
  for (const IdleConnection& idle : m_idle) {
    idle.connection->Close();
  }
  m_idle.clear();
}

}  // namespace pistachiowalk
