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
struct AcquiredConnection {
  ClientConnectionPtr connection;
  // Made for this request, so the endpoint cannot have closed it unseen.
  bool is_new = false;
};

// The kept connections of one endpoint. The endpoint accepts a limited number
// from all nodes together, and each new one costs; so the one used last is
// used first, and no more are open than this node's share.
class EndpointConnectionPool {
 public:
  EndpointConnectionPool(EventLoop& loop, SocketAddress address);
  ~EndpointConnectionPool();
  EndpointConnectionPool(const EndpointConnectionPool&) = delete;
  EndpointConnectionPool& operator=(const EndpointConnectionPool&) = delete;

  // 0 is no limit.
  void SetMaximum(uint32_t maximum) { m_maximum = maximum; }
  bool CanAcquire(TimePoint now);
  std::optional<AcquiredConnection> TryAcquire(TimePoint now);
  // Gives a connection back; one that cannot be used again is closed.
  // `idle_limit` is how long the endpoint keeps it, if it said so.
  void Release(const ClientConnectionPtr& connection,
               std::optional<Duration> idle_timeout,
               TimePoint now);
  // Closes kept connections that the endpoint is about to close.
  void CloseExpired(TimePoint now);
  void CloseIdle();
  uint32_t open_count() const {
    return m_in_use + static_cast<uint32_t>(m_idle.size());
  }

 private:
  struct IdleConnection {
    ClientConnectionPtr connection;
    TimePoint usable_until;
  };

  void CloseUnusable(TimePoint now);

  EventLoop& m_loop;
  SocketAddress m_address;
  uint32_t m_maximum = 0;
  uint32_t m_in_use = 0;
  // The one used last comes last.
  std::list<IdleConnection> m_idle;
};

}  // namespace pistachiowalk
