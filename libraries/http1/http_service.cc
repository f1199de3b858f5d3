#include "http1/http_service.h"

#include <algorithm>
#include <vector>

namespace pistachiowalk {
namespace {

// Interval between checks of the connections' timeouts, which are in the range
// of seconds.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(250);

}  // namespace

boost::leaf::result<std::unique_ptr<HttpService>> HttpService::Create(
    EventLoop& loop,
    const Clock& clock,
    const SocketAddress& address,
    ServerLimits limits,
    ServerConnection::RequestHandler handler) {
  std::unique_ptr<HttpService> service(
      new HttpService(loop, clock, limits, std::move(handler)));
  BOOST_LEAF_ASSIGN(
      service->m_listener,
      TcpListener::Create(loop, address,
                          [self = service.get()](TcpConnectionPtr connection) {
                            self->OnConnection(std::move(connection));
                          }));
  service->CheckTimeouts();
  return service;
}

HttpService::HttpService(EventLoop& loop,
                         const Clock& clock,
                         ServerLimits limits,
                         ServerConnection::RequestHandler handler)
    : m_loop(loop),
      m_clock(clock),
      m_limits(limits),
      m_handler(std::move(handler)) {}

HttpService::~HttpService() {
  m_loop.Cancel(m_timeout_check);
  const std::set<ServerConnectionPtr> connections = std::move(m_connections);
  m_connections.clear();
  for (const ServerConnectionPtr& connection : connections) {
    connection->Close();
  }
}

void HttpService::SetLimits(const ServerLimits& limits) {
  m_limits = limits;
  for (const ServerConnectionPtr& connection : m_connections) {
    connection->SetLimits(limits);
  }
}

void HttpService::CloseAfterResponses() {
  m_closes_after_response = true;
  for (const ServerConnectionPtr& connection : m_connections) {
    connection->CloseAfterResponse();
  }
}

void HttpService::CloseIdleConnections() {
  m_listener->Close();
  const std::vector<ServerConnectionPtr> connections(m_connections.begin(),
                                                     m_connections.end());
  for (const ServerConnectionPtr& connection : connections) {
    connection->CloseWhenIdle();
  }
}

bool HttpService::IsDelivering() const {
  return std::any_of(m_connections.begin(), m_connections.end(),
                     [](const ServerConnectionPtr& connection) {
                       return connection->is_delivering();
                     });
}

void HttpService::RefuseUnfinishedRequests(const HttpHeaders& headers) {
  const std::vector<ServerConnectionPtr> connections(m_connections.begin(),
                                                     m_connections.end());
  for (const ServerConnectionPtr& connection : connections) {
    connection->RefuseUnfinishedRequest(headers);
  }
}

void HttpService::OnConnection(TcpConnectionPtr connection) {
  if (m_connections.size() >= m_maximum_connections) {
    connection->Close();
    return;
  }
  const ServerConnectionPtr server(
      new ServerConnection(std::move(connection), m_limits, m_handler,
                           [this](ServerConnection& ended) {
                             m_connections.erase(ServerConnectionPtr(&ended));
                           }));
  m_connections.insert(server);
  if (m_closes_after_response) {
    server->CloseAfterResponse();
  }
  server->Start(m_clock.Now());
}

void HttpService::CheckTimeouts() {
  const TimePoint now = m_clock.Now();
  const std::vector<ServerConnectionPtr> connections(m_connections.begin(),
                                                     m_connections.end());
  for (const ServerConnectionPtr& connection : connections) {
    connection->CheckTimeouts(now);
  }
  m_timeout_check =
      m_loop.Schedule(kTimeoutCheckInterval, [this] { CheckTimeouts(); });
}

}  // namespace pistachiowalk
