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

// Which way bytes go through a proxy: to the server, or back to the client.
enum class ProxyWay : uint8_t { kForward, kBack };

// What a proxy does to bytes.
struct ProxyFault {
  Duration delay{};
  bool drops_forward = false;
  bool drops_back = false;
  // New connections are accepted and lead nowhere.
  bool holds_new = false;
};

// A TCP proxy on loopback that harms what passes through it.
class LoopbackProxy {
 public:
  LoopbackProxy(EventLoop& loop, SocketAddress listen, SocketAddress target);
  ~LoopbackProxy() { Reset(); }
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  void SetFault(const ProxyFault& fault) { m_fault = fault; }
  // Ends all connections that are open.
  void Reset();
  // Open connections pass nothing any more, while new ones work.
  void SilenceOpen();

 private:
  // What is on its way, in order; the end of a side comes last, without bytes.
  struct Delayed {
    TimePoint due{};
    std::string bytes;
    bool is_end = false;
  };
  struct Pair {
    TcpConnectionPtr client;
    TcpConnectionPtr server;
    bool is_silent = false;
    std::deque<Delayed> forward;
    std::deque<Delayed> back;
  };
  using PairPtr = std::shared_ptr<Pair>;

  void OnConnection(TcpConnectionPtr client);
  void Pass(const PairPtr& pair, ProxyWay way);
  void Queue(const PairPtr& pair, ProxyWay way, Delayed delayed);
  // Lets go what is due.
  void Drain(const PairPtr& pair, ProxyWay way);

  EventLoop& m_loop;
  SocketAddress m_target;
  ProxyFault m_fault;
  std::list<PairPtr> m_pairs;
  std::unique_ptr<TcpListener> m_listener;
};

}  // namespace pistachiowalk::testing
