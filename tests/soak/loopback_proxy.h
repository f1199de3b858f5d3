#pragma once

#include <deque>
#include <list>
#include <memory>
#include <string>

#include "http1/socket_address.h"
#include "http1/tcp_connection.h"
#include "http1/tcp_listener.h"
#include "net/event_loop.h"

namespace pistachiowalk::testing {

// The direction of bytes through a proxy: forward to the server, or backward
// to the client.
enum class ProxyDirection : uint8_t { kForward, kBackward };

// The faults that a proxy injects.
struct ProxyFault {
  Duration delay{};
  bool drops_forward = false;
  bool drops_backward = false;
  // New connections are accepted, but no bytes are forwarded on them.
  bool blackholes_new = false;
};

// A TCP proxy on loopback that injects faults into its connections.
class LoopbackProxy {
 public:
  LoopbackProxy(EventLoop& loop, SocketAddress listen, SocketAddress target);
  ~LoopbackProxy() { Reset(); }
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  void SetFault(const ProxyFault& fault) { m_fault = fault; }
  // Closes all open connections.
  void Reset();
  // Accepts connections; initially it does.
  void Listen();
  // Closes all open connections and refuses new ones.
  void StopListening();
  // Stops forwarding on the open connections; new ones work.
  void BlackholeOpen();

 private:
  // Bytes to be sent when they are due. The end of a side is the last chunk and
  // has no bytes.
  struct DelayedChunk {
    TimePoint due{};
    std::string bytes;
    bool is_end = false;
  };
  struct ConnectionPair {
    TcpConnectionPtr client;
    TcpConnectionPtr server;
    bool is_blackholed = false;
    std::deque<DelayedChunk> forward;
    std::deque<DelayedChunk> backward;
  };
  using ConnectionPairPtr = std::shared_ptr<ConnectionPair>;

  void OnConnection(TcpConnectionPtr client);
  void Forward(const ConnectionPairPtr& pair, ProxyDirection direction);
  void Enqueue(const ConnectionPairPtr& pair,
               ProxyDirection direction,
               DelayedChunk delayed);
  // Sends the chunks that are due.
  void SendDue(const ConnectionPairPtr& pair, ProxyDirection direction);

  EventLoop& m_loop;
  SocketAddress m_address;
  SocketAddress m_target;
  ProxyFault m_fault;
  std::list<ConnectionPairPtr> m_pairs;
  std::unique_ptr<TcpListener> m_listener;
};

}  // namespace pistachiowalk::testing
