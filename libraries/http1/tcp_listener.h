#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <memory>

#include "http1/socket_address.h"
#include "http1/tcp_connection.h"
#include "net/event_loop.h"

namespace pistachiowalk {

// Accepts TCP connections on one address.
class TcpListener {
 public:
  using Callback = std::function<void(TcpConnectionPtr connection)>;

  // Errors: NetError if it cannot listen on the address.
  static boost::leaf::result<std::unique_ptr<TcpListener>>
  Create(EventLoop& loop, const SocketAddress& address, Callback callback);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Stops accepting and closes the socket.
  void Close();

 private:
  TcpListener(EventLoop& loop, int fd, Callback callback);
  void OnReadable();

  EventLoop& m_loop;
  int m_fd;
  Callback m_callback;
};

}  // namespace pistachiowalk
