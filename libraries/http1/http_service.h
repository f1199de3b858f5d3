#pragma once

#include <boost/leaf.hpp>
#include <memory>
#include <set>

#include "base/clock.h"
#include "http1/server_connection.h"
#include "http1/tcp_listener.h"

namespace pistachiowalk {

// An HTTP/1.1 server on one address that enforces limits on its connections.
class HttpService {
 public:
  // Errors: NetError if it cannot listen on the address.
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
  // Connections accepted beyond this number are closed at once, so that file
  // descriptors do not run out.
  void SetMaximumConnections(size_t count) { m_maximum_connections = count; }
  // Closes each connection after its next response; applies to connections
  // accepted later as well.
  void CloseAfterResponses();
  // Stops accepting connections, closes idle ones, and closes the others after
  // their current response.
  void CloseIdleConnections();
  // Whether a response, or a part of it, would be lost if the process ended
  // now.
  bool IsDelivering() const;
  // Answers requests that have not been received to their end with 503 and
  // `headers`, and closes their connections.
  void RefuseUnfinishedRequests(const HttpHeaders& headers);
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
