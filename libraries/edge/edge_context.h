#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "edge/load_meter.h"
#include "edge/open_request.h"
#include "routing/prefix_index.h"
#include "serving/buffer_budget.h"
#include "serving/engine_speed_samples.h"
#include "serving/fair_share.h"
#include "serving/response_times.h"
#include "serving/serving_config.h"
#include "serving/shared_retry_budget.h"
#include "serving/stream_origin.h"
#include "upstream/crash_checks.h"

namespace pistachiowalk {

class CustomerLimits;
class EdgeMetrics;
class EndpointRegistry;
class EventLoop;
class PromptQuarantine;
class RolloutNode;
class ClusterTime;
class UsageLedger;
class WireFormat;
class WorkerLimits;

// Of a node that does not know its machine's memory.
constexpr size_t kDefaultBufferBytes = size_t{32} * 1024 * 1024;

// State that the forwarded requests of one node share. It lives as long as the
// node.
struct EdgeContext {
  EventLoop& loop;
  const Clock& clock;
  const WireFormat& wire;
  EndpointRegistry& endpoints;
  CustomerLimits& limits;
  UsageLedger& usage;
  const ClusterTime& cluster_time;
  PromptQuarantine& quarantine;
  WorkerLimits& worker_limits;
  RolloutNode& rollouts;
  EdgeMetrics& metrics;
  DataCenterName data_center;
  std::map<DataCenterName, RegionName> regions;

  // The config in force; nullptr before the first one.
  std::shared_ptr<const ServingConfig> config;
  // Whether other nodes have a newer config, as far as this node knows.
  std::function<bool()> is_config_behind;
  // Whether they have had one for longer than config changes may take.
  std::function<bool()> is_config_late;
  // The list of endpoints was read at least once.
  bool are_endpoints_known = false;
  // False on a node that has just started and has not yet learned how far the
  // roll-outs are.
  bool are_rollouts_known = true;
  // The config's revision in the store, for the log.
  uint64_t config_revision = 0;
  RetryBudgetConfig retry_budget_config;
  std::map<ServiceName, SharedRetryBudget> retry_budgets;
  // Who is served first while a service cannot serve all.
  CustomerCompetition competition;
  // Prompt tokens per second that engines have to prefill, by service. Refused
  // requests count too.
  std::map<ServiceName, LoadMeter> demand;
  // Requests per second whose prompt tokens are counted in `demand`, by
  // service.
  std::map<ServiceName, LoadMeter> demanded_requests;
  // Measured first events, by service; the basis of its engines' speed.
  std::map<ServiceName, FirstEventSamples> first_events;
  // Called before the first bytes of a resumable stream are passed on, with the
  // caller's attempt that began it.
  std::function<void(const RequestId& first_attempt,
                     const StreamOrigin& origin)>
      note_stream_begun;
  // Called when a stream that has begun ends at this node.
  std::function<void(const RequestId& first_attempt, bool is_complete)>
      note_stream_ended;
  // Calls `callback` once, with nullopt if no node knows the stream.
  std::function<void(
      const RequestId& first_attempt,
      std::function<void(const std::optional<StreamOrigin>& origin)> callback)>
      find_stream_origin;
  // Whether this node has just started and may still learn of streams.
  std::function<bool()> may_learn_origins;
  // The only version that may have begun streams of the service; nullopt if
  // there may be several.
  std::function<std::optional<SoftwareVersion>(const ServiceName& service)>
      only_version;
  // Calls `callback` once, with whether the list of endpoints, and so what
  // `only_version` returns, has all changes of the store up to this call.
  std::function<void(std::function<void(bool is_complete)> callback)>
      refresh_list;
  // Called when an endpoint whose service can fetch prefixes has read a prompt
  // with this shared prefix.
  std::function<void(uint64_t endpoint_key,
                     std::span<const PrefixBlock> shared_prefix)>
      note_prefix_read;
  // Whether this node may send a quarantined request to test its prompt; at
  // most one node may at a time.
  std::function<bool()> may_probe;
  std::mt19937_64 random;
  CrashChecks crash_checks;
  // Times of complete responses, by name of the route.
  std::map<std::string, ResponseTimes> response_times;
  size_t open_requests = 0;
  // The same requests, to end them when the node stops.
  OpenRequestList open_request_list;
  // For the parts of responses that are held until they are complete.
  BufferBudget buffers{kDefaultBufferBytes};
  // Set once the node was asked to stop: when its open requests are ended.
  std::optional<TimePoint> stops_at;
  // New requests are refused; the load balancer no longer sends callers here.
  bool is_shutting_down = false;
};

}  // namespace pistachiowalk
