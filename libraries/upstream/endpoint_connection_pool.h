#pragma once

#include <cstdint>
#include <list>
#include <optional>

#include "base/clock.h"
#include "http1/client_connection.h"
#include "http1/socket_address.h"
#include "net/event_loop.h"

namespace pistachiowalk {

// A connection to an endpoint that is in use by one request.
struct AcquiredConnection {
  ClientConnectionPtr connection;
  // Opened for this request, so the endpoint cannot have closed it while it was
  // idle.
  bool is_new = false;
};

enum class ConnectionChoice { kAny, kNewOnly };

// Connection pool of one endpoint. The endpoint accepts a limited number of
// connections from all nodes together and opening one is expensive, so the most
// recently used connection is reused first, and at most this node's share is
// open.
class EndpointConnectionPool {
 public:
  EndpointConnectionPool(EventLoop& loop, SocketAddress address);
  ~EndpointConnectionPool();
  EndpointConnectionPool(const EndpointConnectionPool&) = delete;
  EndpointConnectionPool& operator=(const EndpointConnectionPool&) = delete;

  // 0 is unlimited.
  void SetMaximum(uint32_t maximum) { m_maximum = maximum; }
  bool CanAcquire(TimePoint now);
  // With kNewOnly, an idle connection is closed if the limit leaves no room for
  // a new one.
  std::optional<AcquiredConnection> TryAcquire(
      TimePoint now,
      ConnectionChoice choice = ConnectionChoice::kAny);
  // Returns a connection to the pool, or closes it if it cannot be reused.
  // `idle_timeout` is how long the endpoint keeps it open, if it stated that.
  void Release(const ClientConnectionPtr& connection,
               std::optional<Duration> idle_timeout,
               TimePoint now);
  // Closes idle connections that the endpoint is about to close.
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
  // Ordered by last use, the most recent last.
  std::list<IdleConnection> m_idle;
};

}  // namespace pistachiowalk
