#include "gateway/gateway_metrics.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

namespace pistachiowalk {
namespace {

prometheus::Gauge& MakeGauge(prometheus::Registry& registry,
                             const std::string& name,
                             const std::string& help) {
  return prometheus::BuildGauge()
      .Name("pistachiowalk_gateway_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

}  // namespace

struct GatewayMetrics::Families {
  explicit Families(prometheus::Registry& registry)
      : open_requests(
            MakeGauge(registry, "open_requests", "Requests without outcome.")),
        caller_connections(MakeGauge(registry,
                                     "caller_connections",
                                     "Open connections of callers.")),
        endpoints(
            MakeGauge(registry, "endpoints", "Endpoints that may be used.")),
        endpoint_connections(MakeGauge(registry,
                                       "endpoint_connections",
                                       "Open connections to endpoints.")),
        missing_endpoints(
            MakeGauge(registry,
                      "missing_endpoints",
                      "Endpoints used though their entries are missing.")),
        peers_heard(
            MakeGauge(registry, "peers_heard", "Other nodes heard of late.")),
        config_version(MakeGauge(registry,
                                 "config_version",
                                 "Version of the config in force.")),
        store_lost(MakeGauge(registry,
                             "store_lost",
                             "1 while the store does not answer.")),
        store_history(MakeGauge(registry,
                                "store_history",
                                "History that the store named last; it rises "
                                "when the store is restored from a copy.")),
        config_revision(MakeGauge(registry,
                                  "config_revision",
                                  "Revision of the store up to which the "
                                  "config's changes are known.")),
        holds_duty(
            MakeGauge(registry, "holds_duty", "1 while it holds the duties.")),
        dropped_log_lines(MakeGauge(registry,
                                    "dropped_log_lines",
                                    "Log lines dropped since the start.")),
        failed_tasks(MakeGauge(registry,
                               "failed_tasks",
                               "Callbacks of the loop that ended with an "
                               "exception since the start.")),
        quarantined_prompts(
            MakeGauge(registry,
                      "quarantined_prompts",
                      "Sets of prompt parts whose requests are refused.")),
        limited_workers(MakeGauge(registry,
                                  "limited_workers",
                                  "Workers that name a limit.")),
        rollouts_running(MakeGauge(registry,
                                   "rollouts_running",
                                   "Roll-outs without outcome.")),
        slow_endpoints(
            MakeGauge(registry,
                      "slow_endpoints",
                      "Endpoints that are slower than is usual for their "
                      "service.")),
        relay_served_bytes(MakeGauge(registry,
                                     "relay_served_bytes",
                                     "Bytes of snapshots served to peers.")),
        relay_fetched_bytes(MakeGauge(registry,
                                      "relay_fetched_bytes",
                                      "Bytes of snapshots from peers.")),
        relay_wasted_bytes(
            MakeGauge(registry,
                      "relay_wasted_bytes",
                      "Bytes of snapshots that did not arrive in full.")),
        config_behind_seconds(
            MakeGauge(registry,
                      "config_behind_seconds",
                      "Time since the oldest config that this node lacks "
                      "was heard of.")),
        endpoints_confirmed_seconds(
            MakeGauge(registry,
                      "endpoints_confirmed_seconds",
                      "Time since the list of endpoints was last known to be "
                      "complete.")),
        competing(MakeGauge(registry,
                            "competing",
                            "1 while a service lacks room and customers' fair "
                            "shares count.")),
        buffered_bytes(MakeGauge(registry,
                                 "buffered_bytes",
                                 "Memory reserved for parts of responses.")),
        request_bytes(MakeGauge(registry,
                                "request_bytes",
                                "Memory reserved for requests.")),
        stalled_bodies(
            MakeGauge(registry,
                      "stalled_bodies",
                      "Request bodies that stalled and gave way to others.")),
        waiting_bodies(
            MakeGauge(registry,
                      "waiting_bodies",
                      "Request bodies that waited for memory in vain.")),
        refused_short_requests(
            MakeGauge(registry,
                      "refused_short_requests",
                      "Requests refused as short ones held too much memory.")),
        late_bodies(MakeGauge(registry,
                              "late_bodies",
                              "Request bodies that did not arrive in time.")),
        displaced_connections(
            MakeGauge(registry,
                      "displaced_connections",
                      "Connections closed for lack of descriptors.")) {}

  prometheus::Gauge& open_requests;
  prometheus::Gauge& caller_connections;
  prometheus::Gauge& endpoints;
  prometheus::Gauge& endpoint_connections;
  prometheus::Gauge& missing_endpoints;
  prometheus::Gauge& peers_heard;
  prometheus::Gauge& config_version;
  prometheus::Gauge& store_lost;
  prometheus::Gauge& store_history;
  prometheus::Gauge& config_revision;
  prometheus::Gauge& holds_duty;
  prometheus::Gauge& dropped_log_lines;
  prometheus::Gauge& failed_tasks;
  prometheus::Gauge& quarantined_prompts;
  prometheus::Gauge& limited_workers;
  prometheus::Gauge& rollouts_running;
  prometheus::Gauge& slow_endpoints;
  prometheus::Gauge& relay_served_bytes;
  prometheus::Gauge& relay_fetched_bytes;
  prometheus::Gauge& relay_wasted_bytes;
  prometheus::Gauge& config_behind_seconds;
  prometheus::Gauge& endpoints_confirmed_seconds;
  prometheus::Gauge& competing;
  prometheus::Gauge& buffered_bytes;
  prometheus::Gauge& request_bytes;
  prometheus::Gauge& stalled_bodies;
  prometheus::Gauge& waiting_bodies;
  prometheus::Gauge& refused_short_requests;
  prometheus::Gauge& late_bodies;
  prometheus::Gauge& displaced_connections;
};

GatewayMetrics::GatewayMetrics(prometheus::Registry& registry)
    : m_families(std::make_unique<Families>(registry)) {}

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::Set(const GatewayGauges& gauges) {
  m_families->open_requests.Set(gauges.open_requests);
  m_families->caller_connections.Set(gauges.caller_connections);
  m_families->endpoints.Set(gauges.endpoints);
  m_families->endpoint_connections.Set(gauges.endpoint_connections);
  m_families->missing_endpoints.Set(gauges.missing_endpoints);
  m_families->peers_heard.Set(gauges.peers_heard);
  m_families->config_version.Set(gauges.config_version);
  m_families->store_lost.Set(gauges.store_lost);
  m_families->store_history.Set(gauges.store_history);
  m_families->config_revision.Set(gauges.config_revision);
  m_families->holds_duty.Set(gauges.holds_duty);
  m_families->dropped_log_lines.Set(gauges.dropped_log_lines);
  m_families->failed_tasks.Set(gauges.failed_tasks);
  m_families->quarantined_prompts.Set(gauges.quarantined_prompts);
  m_families->limited_workers.Set(gauges.limited_workers);
  m_families->rollouts_running.Set(gauges.rollouts_running);
  m_families->slow_endpoints.Set(gauges.slow_endpoints);
  m_families->relay_served_bytes.Set(gauges.relay_served_bytes);
  m_families->relay_fetched_bytes.Set(gauges.relay_fetched_bytes);
  m_families->relay_wasted_bytes.Set(gauges.relay_wasted_bytes);
  m_families->config_behind_seconds.Set(gauges.config_behind_seconds);
  m_families->endpoints_confirmed_seconds.Set(
      gauges.endpoints_confirmed_seconds);
  m_families->competing.Set(gauges.competing);
  m_families->buffered_bytes.Set(gauges.buffered_bytes);
  m_families->request_bytes.Set(gauges.request_bytes);
  m_families->stalled_bodies.Set(gauges.stalled_bodies);
  m_families->waiting_bodies.Set(gauges.waiting_bodies);
  m_families->refused_short_requests.Set(gauges.refused_short_requests);
  m_families->late_bodies.Set(gauges.late_bodies);
  m_families->displaced_connections.Set(gauges.displaced_connections);
}

}  // namespace pistachiowalk
