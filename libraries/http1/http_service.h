#pragma once

#include <boost/leaf.hpp>
#include <memory>
#include <set>

#include "base/clock.h"
#include "http1/server_connection.h"
#include "http1/tcp_listener.h"

namespace pistachiowalk {

// Serves HTTP/1.1 on one address and keeps its connections within limits.
class HttpService {
 public:
  // Errors: NetError when the address cannot be had.
  static boost::leaf::result<std::unique_ptr<HttpService>> Create(
      EventLoop& loop,
      const Clock& clock,
      const SocketAddress& address,
      ServerLimits limits,
      ServerConnection::RequestHandler handler);
  ~HttpService();
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  void SetLimits(const ServerLimits& limits);
  // New connections beyond this number are reset, so that descriptors last.
  void SetMaximumConnections(size_t count) { m_maximum_connections = count; }
  // Lets each connection, later ones too, end after its next answer.
  void CloseAfterResponses();
  // Refuses new connections, ends idle ones, and the others after their answer.
  void CloseIdleConnections();
  size_t connections() const { return m_connections.size(); }

 private:
  HttpService(EventLoop& loop,
              const Clock& clock,
              ServerLimits limits,
              ServerConnection::RequestHandler handler);
  void OnConnection(TcpConnectionPtr connection);
  void CheckTimeouts();

  EventLoop& m_loop;
  const Clock& m_clock;
  ServerLimits m_limits;
  ServerConnection::RequestHandler m_handler;
  std::unique_ptr<TcpListener> m_listener;
  std::set<ServerConnectionPtr> m_connections;
  size_t m_maximum_connections = 2048;
  bool m_closes_after_response = false;
  TimerId m_timeout_check = 0;
};

}  // namespace pistachiowalk
