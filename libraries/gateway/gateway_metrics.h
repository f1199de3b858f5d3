#pragma once

#include <memory>

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace pistachiowalk {

// Values of a gateway's gauges at one time.
struct GatewayGauges {
  double open_requests = 0;
  double caller_connections = 0;
  double endpoints = 0;
  double endpoint_connections = 0;
  double missing_endpoints = 0;
  double peers_heard = 0;
  double config_version = 0;
  double store_lost = 0;
  double store_history = 0;
  double config_revision = 0;
  double holds_duty = 0;
  double dropped_log_lines = 0;
  double failed_tasks = 0;
  double quarantined_prompts = 0;
  double limited_workers = 0;
  double rollouts_running = 0;
  double slow_endpoints = 0;
  double relay_served_bytes = 0;
  double relay_fetched_bytes = 0;
  double relay_wasted_bytes = 0;
  double config_behind_seconds = 0;
  double endpoints_confirmed_seconds = 0;
  double competing = 0;
  double buffered_bytes = 0;
  double request_bytes = 0;
  double stalled_bodies = 0;
  double waiting_bodies = 0;
  double refused_short_requests = 0;
  double late_bodies = 0;
  double displaced_connections = 0;
};

// Gauges of one gateway process.
class GatewayMetrics {
 public:
  explicit GatewayMetrics(prometheus::Registry& registry);
  ~GatewayMetrics();
  GatewayMetrics(const GatewayMetrics&) = delete;
  GatewayMetrics& operator=(const GatewayMetrics&) = delete;

  void Set(const GatewayGauges& gauges);

 private:
  struct Families;

  std::unique_ptr<Families> m_families;
};

}  // namespace pistachiowalk
