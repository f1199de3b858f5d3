#pragma once

#include <list>
#include <memory>
#include <string>

#include "http1/socket_address.h"
#include "http1/tcp_connection.h"
#include "http1/tcp_listener.h"
#include "net/event_loop.h"

namespace pistachiowalk::testing {

// A TCP proxy on loopback whose connections share one outgoing bandwidth, as
// those of a node do. Bytes to the server are forwarded at once.
class NarrowLink {
 public:
  NarrowLink(EventLoop& loop,
             const SocketAddress& listen,
             SocketAddress server,
             size_t bytes_per_second);
  ~NarrowLink();
  NarrowLink(const NarrowLink&) = delete;
  NarrowLink& operator=(const NarrowLink&) = delete;

  uint64_t sent_bytes() const { return m_sent_bytes; }

 private:
  struct Connection {
    TcpConnectionPtr client;
    TcpConnectionPtr server;
    std::string queued;
    bool has_server_ended = false;
  };

  void OnConnection(TcpConnectionPtr client);
  // Sends what the bandwidth allows in one interval, in equal shares.
  void SendSlices();

  EventLoop& m_loop;
  SocketAddress m_server;
  size_t m_bytes_per_second;
  uint64_t m_sent_bytes = 0;
  std::list<std::shared_ptr<Connection>> m_connections;
  std::unique_ptr<TcpListener> m_listener;
  TimerId m_timer = 0;
};

}  // namespace pistachiowalk::testing
