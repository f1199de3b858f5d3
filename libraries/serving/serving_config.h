#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// Whether a route's requests may be executed more than once.
enum class RouteKind : uint8_t {
  kIdempotent,
  // At most one execution per request.
  kNonIdempotent,
  // An event stream; retried only if the route is resumable.
  kStream,
};

// A service and its share of a route's requests.
struct RouteTarget {
  ServiceName service;
  uint32_t weight = 1;

  friend auto operator<=>(const RouteTarget&, const RouteTarget&) = default;
};

// Requests to one host whose path begins with a prefix.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<RouteTarget> targets;
  // Maximum time until the response is complete.
  std::chrono::milliseconds timeout{0};
  // The SLO's time to the response or, for a stream, to the first event.
  std::chrono::milliseconds latency_target{0};
  // The SLO's maximum time between events; 0 if the route is no stream.
  std::chrono::milliseconds gap_target{0};
  // Maximum number of executions per request.
  uint32_t maximum_attempts = 1;
  // 0 is the most urgent.
  uint32_t priority = 0;
  // No API key is required.
  bool is_public = false;
  bool is_resumable = false;

  friend auto operator<=>(const Route&, const Route&) = default;
};

// The capacity of a service's model engines.
struct EngineSpec {
  uint32_t slots = 1;
  uint64_t cache_tokens = 0;
  // Size of a token in the KV cache, and the bandwidth of an engine's link in
  // megabits per second. 0 if engines cannot fetch prefixes from one another.
  uint64_t cache_bytes_per_token = 0;
  double link_megabits = 0.0;

  friend auto operator<=>(const EngineSpec&, const EngineSpec&) = default;
};

// How many workers of a service may be ordered per data centre, and their cost.
struct ScalingSpec {
  uint32_t minimum = 0;
  uint32_t maximum = 0;
  std::chrono::milliseconds start_time{0};
  // Price of a reclaimable worker relative to a worker that is not reclaimable.
  double reclaimable_price_ratio = 1.0;
  std::map<DataCenterName, double> prices;

  friend auto operator<=>(const ScalingSpec&, const ScalingSpec&) = default;
};

struct ServiceSpec {
  ServiceName name;
  // Connections that an endpoint accepts from all nodes together; 0 is
  // unlimited.
  uint32_t maximum_connections = 0;
  std::optional<EngineSpec> engine;
  std::optional<ScalingSpec> scaling;

  friend auto operator<=>(const ServiceSpec&, const ServiceSpec&) = default;
};

struct CustomerSpec {
  CustomerName name;
  // Overrides the route's priority.
  std::optional<uint32_t> priority;
  // Limit over all nodes, in requests or tokens; 0 per second is unlimited.
  double rate_per_second = 0.0;
  double burst = 0.0;
  bool counts_tokens = false;
  // Tokens counted for a request that does not state its own.
  double default_tokens = 1.0;

  friend auto operator<=>(const CustomerSpec&, const CustomerSpec&) = default;
};

// Size and time limits for callers' requests.
struct CallerLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};

  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
};

// One version of the operators' configuration. Immutable once in force.
struct ServingConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, ServiceSpec> services;
  CallerLimits caller_limits;
  // If empty, requests need no API key.
  std::map<CustomerName, CustomerSpec> customers;
  std::map<std::string, CustomerName, std::less<>> api_keys;

  friend bool operator==(const ServingConfig&, const ServingConfig&) = default;
};

// Returns the route of `host` with the longest prefix of `path`, or nullptr.
const Route* FindRoute(const ServingConfig& config,
                       std::string_view host,
                       std::string_view path);

// Chooses a service by weight; `draw` is uniform in [0, 1).
const ServiceName& ChooseTarget(const Route& route, double draw);

// The longest time between the begin of a stream and its last resumption, if
// callers resume it at most twice, each time for its route's timeout.
std::chrono::milliseconds ResumableTime(const ServingConfig& config);

// Returns the customer of an API key, or nullptr.
const CustomerSpec* FindCustomer(const ServingConfig& config,
                                 std::string_view api_key);

}  // namespace pistachiowalk
