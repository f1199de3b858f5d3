#include "upstream/endpoint_connections.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// How long a connection is kept when the endpoint does not say, and how long
// before the end of its time it is no longer used: a request that crosses the
// endpoint's close may be lost.
constexpr Duration kDefaultIdleLimit = std::chrono::seconds(4);
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

// Answers of endpoints: event streams are passed on as they come, and others
// are kept whole.
constexpr ParseLimits kAnswerLimits{.header_bytes = 32 * 1024,
                                    .body_bytes = 64 * 1024 * 1024};

}  // namespace

EndpointConnections::EndpointConnections(EventLoop& loop, SocketAddress address)
    : m_loop(loop), m_address(std::move(address)) {}

EndpointConnections::~EndpointConnections() {
  CloseIdle();
}

void EndpointConnections::DropUnusable(TimePoint now) {
  m_idle.remove_if([now](const Idle& idle) {
    const bool is_usable =
        idle.connection->CanReuse() && now < idle.usable_until;
    if (!is_usable) {
      idle.connection->Close();
    }
    return !is_usable;
  });
}

bool EndpointConnections::CanTake(TimePoint now) {
  DropUnusable(now);
  return !m_idle.empty() || m_maximum == 0 || open() < m_maximum;
}

std::optional<TakenConnection> EndpointConnections::Take(TimePoint now) {
  if (!CanTake(now)) {
    return std::nullopt;
  }
  ++m_taken;
  if (!m_idle.empty()) {
    ClientConnectionPtr connection = std::move(m_idle.back().connection);
    m_idle.pop_back();
    connection->SetIdleEndHandler(nullptr);
    return TakenConnection{.connection = std::move(connection)};
  }
  return TakenConnection{
      .connection = new ClientConnection(
          TcpConnection::Connect(m_loop, m_address), kAnswerLimits),
      .is_new = true};
}

void EndpointConnections::Return(const ClientConnectionPtr& connection,
                                 std::optional<Duration> idle_limit,
                                 TimePoint now) {
  --m_taken;
  if (!connection->CanReuse()) {
    connection->Close();
    return;
  }
  const Duration usable = idle_limit.value_or(kDefaultIdleLimit) - kIdleMargin;
  if (usable <= Duration::zero()) {
    connection->Close();
    return;
  }
  m_idle.push_back(
      Idle{.connection = connection, .usable_until = now + usable});
}

void EndpointConnections::CloseExpired(TimePoint now) {
  DropUnusable(now);
}

void EndpointConnections::CloseIdle() {
  for (const Idle& idle : m_idle) {
    idle.connection->Close();
  }
  m_idle.clear();
}

}  // namespace pistachiowalk
