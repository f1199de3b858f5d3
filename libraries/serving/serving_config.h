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

// What a route says of repeating a request.
enum class RouteKind : uint8_t {
  kIdempotent,
  // At most one run for each request of a caller.
  kNonIdempotent,
  // An event stream; repeated only where the route is resumable.
  kStream,
};

// A share of a route's requests that goes to one service.
struct RouteTarget {
  ServiceName service;
  uint32_t weight = 1;

  friend auto operator<=>(const RouteTarget&, const RouteTarget&) = default;
};

// Requests of one host whose path begins with a prefix.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<RouteTarget> targets;
  // Longest time that a caller is kept waiting.
  std::chrono::milliseconds timeout{0};
  // Time to the answer, or to the first event, that the SLO asks for.
  std::chrono::milliseconds latency_target{0};
  // Longest pause between events that the SLO allows; 0 for no stream.
  std::chrono::milliseconds gap_target{0};
  // Endpoints that one request may run at.
  uint32_t maximum_attempts = 1;
  // 0 is the most urgent.
  uint32_t priority = 0;
  // Served without an API key.
  bool is_public = false;
  bool is_resumable = false;

  friend auto operator<=>(const Route&, const Route&) = default;
};

// A model engine as its service describes it.
struct EngineSpec {
  uint32_t slots = 1;
  uint64_t cache_tokens = 0;

  friend auto operator<=>(const EngineSpec&, const EngineSpec&) = default;
};

// How many workers of a service may be ordered in a data centre, and for what.
struct ScalingSpec {
  uint32_t minimum = 0;
  uint32_t maximum = 0;
  std::chrono::milliseconds start_time{0};
  // Price of a reclaimable worker over that of another one.
  double reclaimable_price_ratio = 1.0;
  std::map<DataCenterName, double> prices;

  friend auto operator<=>(const ScalingSpec&, const ScalingSpec&) = default;
};

struct ServiceSpec {
  ServiceName name;
  // Connections that an endpoint accepts from all its callers together; 0 is
  // no limit.
  uint32_t maximum_connections = 0;
  std::optional<EngineSpec> engine;
  std::optional<ScalingSpec> scaling;

  friend auto operator<=>(const ServiceSpec&, const ServiceSpec&) = default;
};

struct CustomerSpec {
  CustomerName name;
  // Goes before the route's where it is set.
  std::optional<uint32_t> priority;
  // Limit over all nodes, in requests or tokens; 0 a second is no limit.
  double rate_per_second = 0.0;
  double burst = 0.0;
  bool counts_tokens = false;
  // Tokens that a request counts for which does not tell its own.
  double default_tokens = 1.0;

  friend auto operator<=>(const CustomerSpec&, const CustomerSpec&) = default;
};

// What callers may send, and how slowly.
struct CallerLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};

  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
};

// One version of what the operators want served. Immutable once in force.
struct ServingConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, ServiceSpec> services;
  CallerLimits caller_limits;
  // Without customers, requests need no API key.
  std::map<CustomerName, CustomerSpec> customers;
  std::map<std::string, CustomerName, std::less<>> api_keys;

  friend bool operator==(const ServingConfig&, const ServingConfig&) = default;
};

// The route of `host` with the longest prefix of `path`, or nullptr.
const Route* FindRoute(const ServingConfig& config,
                       std::string_view host,
                       std::string_view path);

// Chooses a service by the targets' weights; `draw` is uniform in [0, 1).
const ServiceName& ChooseTarget(const Route& route, double draw);

// The customer of an API key, or nullptr.
const CustomerSpec* FindCustomer(const ServingConfig& config,
                                 std::string_view api_key);

}  // namespace pistachiowalk
