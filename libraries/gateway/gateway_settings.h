#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "base/ids.h"
#include "http1/socket_address.h"
#include "rollout/rollout_controller.h"

namespace pistachiowalk {

// Settings of a gateway process.
struct GatewaySettings {
  NodeId node;
  DataCenterName data_center;
  std::map<DataCenterName, RegionName> regions;
  // Listening addresses for callers and for the load balancer's readiness
  // checks.
  SocketAddress callers;
  SocketAddress readiness;
  SocketAddress metrics;
  // Listening address for other nodes, UDP and TCP.
  SocketAddress peers;
  SocketAddress store;
  // Writes per second that the store accepts from all nodes together.
  uint32_t store_writes_per_second = 400;
  SocketAddress cloud;
  uint32_t maximum_descriptors = 1024;
  // Bandwidth of the machine's link in megabits per second; 0 if unknown.
  uint32_t link_megabits = 0;
  // Memory of the process in MiB; 0 if unknown.
  uint32_t memory_mebibytes = 0;
  // Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds grace_period{8000};
  // Retries that all nodes together may send to a service in a window: a ratio
  // of its requests, and a constant.
  double retry_budget_ratio = 0.1;
  double retry_budget_slack = 0.0;
  std::chrono::milliseconds retry_budget_window{10000};
  std::chrono::milliseconds limit_window{8000};
  // Time from the acknowledgement of a config to its use by all nodes.
  std::chrono::milliseconds config_bound{2500};
  // Time from the acknowledgement that an endpoint leaves to the last request
  // that reaches it.
  std::chrono::milliseconds drain_bound{2500};
  // Customers' fair shares count while a service cannot serve all.
  bool shares_room_fairly = true;
  std::chrono::milliseconds usage_window{5000};
  RolloutTerms rollout;
  // The duty lease must not alternate between holders within this time.
  std::chrono::milliseconds duty_lease{3000};
  // Whether requests are placed by what was found out of each endpoint.
  bool learns_endpoint_capacity = false;

  friend auto operator<=>(const GatewaySettings&,
                          const GatewaySettings&) = default;
};

}  // namespace pistachiowalk
