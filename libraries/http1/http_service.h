#pragma once

#include <boost/leaf.hpp>
#include <memory>
#include <set>

#include "base/clock.h"
#include "http1/server_connection.h"
#include "http1/tcp_listener.h"

namespace pistachiowalk {

// What a service has refused since its start.
struct HttpServiceCounts {
  // Bodies that gave way to others for lack of memory: their callers had
  // stalled, or they had waited for room.
  uint64_t stalled_bodies = 0;
  uint64_t waiting_bodies = 0;
  // Requests with short bodies, or parts of heads, that were refused as all of
  // them held too much.
  uint64_t short_requests = 0;
  // Bodies of which too little arrived in time.
  uint64_t late_bodies = 0;
  // Connections closed for lack of descriptors.
  uint64_t connections = 0;
  // Connections closed as their clients did not read: for lack of memory, and
  // as nothing was read in time.
  uint64_t unread_outputs = 0;
  uint64_t late_readers = 0;

  friend bool operator==(const HttpServiceCounts&,
                         const HttpServiceCounts&) = default;
};

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
  // At this number of connections the one that has been idle longest is closed
  // for a new one, or the new one if none is idle, so that file descriptors do
  // not run out.
  void SetMaximumConnections(size_t count) { m_maximum_connections = count; }
  // Memory for requests of connections accepted later.
  void SetBudget(std::shared_ptr<BodyBudget> budget);
  // Memory for what clients do not read.
  void SetMaximumOutput(size_t bytes) { m_output_budget->SetMaximum(bytes); }
  size_t output_bytes() const { return m_output_budget->held_bytes(); }
  // Closes each connection after its next response; applies to connections
  // accepted later as well.
  void CloseAfterResponses();
  // Stops accepting connections, closes idle ones, and closes the others after
  // their current response. One on which a request waits to be read stays open
  // until it is called again.
  void CloseIdleConnections();
  // Whether a response, or a part of it, would be lost if the process ended
  // now.
  bool IsDelivering() const;
  // Answers requests that have not been received to their end with 503 and
  // `headers`, and closes their connections.
  void RefuseUnfinishedRequests(const HttpHeaders& headers);
  // `handler` is called for each connection that has ended.
  void SetCloseHandler(std::function<void(const ConnectionClose&)> handler) {
    m_on_close = std::move(handler);
  }
  size_t connections() const { return m_connections.size(); }
  const HttpServiceCounts& counts() const { return m_counts; }

 private:
  HttpService(EventLoop& loop,
              const Clock& clock,
              ServerLimits limits,
              ServerConnection::RequestHandler handler);
  void OnConnection(TcpConnectionPtr connection);
  // Closes the connection that has been idle longest. Returns false if none is.
  bool CloseIdlest();
  void CheckTimeouts();
  void ShareRoomSoon();
  // Lets the connections that wait for room go on, those that waited longest
  // first.
  void ShareRoom();
  void RefuseThatGiveWay(bool is_long);
  // Closes connections whose clients do not read, until the rest is within the
  // maximum.
  void CloseUnread();

  EventLoop& m_loop;
  const Clock& m_clock;
  ServerLimits m_limits;
  ServerConnection::RequestHandler m_handler;
  std::function<void(const ConnectionClose&)> m_on_close;
  std::unique_ptr<TcpListener> m_listener;
  std::set<ServerConnectionPtr> m_connections;
  size_t m_maximum_connections = 2048;
  std::shared_ptr<BodyBudget> m_budget;
  std::shared_ptr<OutputBudget> m_output_budget;
  HttpServiceCounts m_counts;
  bool m_closes_after_response = false;
  TimerId m_timeout_check = 0;
  TimerId m_room_timer = 0;
  TimerId m_unread_timer = 0;
};

}  // namespace pistachiowalk
