#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <memory>

#include "following/node_digest.h"
#include "http1/socket_address.h"
#include "net/event_loop.h"

namespace pistachiowalk {

// Sends and receives node digests as UDP datagrams.
class DigestExchange {
 public:
  using Handler =
      std::function<void(const NodeDigest& digest, const SocketAddress& from)>;

  // Errors: NetError when the address cannot be had.
  static boost::leaf::result<std::unique_ptr<DigestExchange>>
  Create(EventLoop& loop, const SocketAddress& address, Handler handler);
  ~DigestExchange();
  DigestExchange(const DigestExchange&) = delete;
  DigestExchange& operator=(const DigestExchange&) = delete;

  void Send(const NodeDigest& digest,
            const std::vector<SocketAddress>& receivers);

 private:
  DigestExchange(EventLoop& loop, int fd, Handler handler);
  void OnReadable();

  EventLoop& m_loop;
  int m_fd;
  Handler m_handler;
};

}  // namespace pistachiowalk
