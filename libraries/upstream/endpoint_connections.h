#pragma once

#include <cstdint>
#include <list>
#include <optional>

#include "base/clock.h"
#include "http1/client_connection.h"
#include "http1/socket_address.h"
#include "net/event_loop.h"

namespace pistachiowalk {

// A connection to an endpoint, taken for one request.
struct TakenConnection {
  ClientConnectionPtr connection;
  // Made for this request, so the endpoint cannot have closed it unseen.
  bool is_new = false;
};

// The kept connections of one endpoint. The endpoint accepts a limited number
// from all nodes together, and each new one costs; so the one used last is
// used first, and no more are open than this node's share.
class EndpointConnections {
 public:
  EndpointConnections(EventLoop& loop, SocketAddress address);
  ~EndpointConnections();
  EndpointConnections(const EndpointConnections&) = delete;
  EndpointConnections& operator=(const EndpointConnections&) = delete;

  // 0 is no limit.
  void SetMaximum(uint32_t maximum) { m_maximum = maximum; }
  bool CanTake(TimePoint now);
  std::optional<TakenConnection> Take(TimePoint now);
  // Gives a connection back; one that cannot be used again is closed.
  // `idle_limit` is how long the endpoint keeps it, if it said so.
  void Return(const ClientConnectionPtr& connection,
              std::optional<Duration> idle_limit,
              TimePoint now);
  // Closes kept connections that the endpoint is about to close.
  void CloseExpired(TimePoint now);
  void CloseIdle();
  uint32_t open() const {
    return m_taken + static_cast<uint32_t>(m_idle.size());
  }

 private:
  struct Idle {
    ClientConnectionPtr connection;
    TimePoint usable_until;
  };

  void DropUnusable(TimePoint now);

  EventLoop& m_loop;
  SocketAddress m_address;
  uint32_t m_maximum = 0;
  uint32_t m_taken = 0;
  // The one used last comes last.
  std::list<Idle> m_idle;
};

}  // namespace pistachiowalk
