#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "base/ids.h"
#include "http1/socket_address.h"

namespace pistachiowalk {

// What one gateway process is told of itself and its deployment.
struct GatewaySettings {
  NodeId node;
  DataCenterName data_center;
  std::map<DataCenterName, RegionName> regions;
  // Where callers connect, and where the balancer asks for readiness.
  SocketAddress callers;
  SocketAddress readiness;
  SocketAddress metrics;
  // UDP and TCP between the nodes.
  SocketAddress peers;
  SocketAddress store;
  SocketAddress cloud;
  uint32_t maximum_descriptors = 1024;
  // Of the machine's own link, in megabits a second; 0 if it is not known.
  uint32_t link_megabits = 0;
  // From SIGTERM to SIGKILL.
  std::chrono::milliseconds grace_period{8000};
  // Repeats that all nodes together may send to a service in a window.
  double retry_budget_ratio = 0.1;
  double retry_budget_slack = 0.0;
  std::chrono::milliseconds retry_budget_window{10000};
  std::chrono::milliseconds limit_window{8000};
  std::chrono::milliseconds usage_window{5000};
  // A duty's holder may not change back and forth within this time.
  std::chrono::milliseconds duty_lease{3000};

  friend auto operator<=>(const GatewaySettings&,
                          const GatewaySettings&) = default;
};

}  // namespace pistachiowalk
