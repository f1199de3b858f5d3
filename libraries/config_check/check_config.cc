#include "config_check/check_config.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "serving/serving_config.h"

namespace pistachiowalk {
namespace {

// A stream without its first event, or a call without a response, is sent again
// after this many latency targets, and only if a third of one is left after
// that (edge/forwarded_request_attempt).
constexpr int kStallFactor = 2;
constexpr int kMinimumTimeDivisor = 3;
// Share of a node's memory that long bodies together may take, unless one is
// larger (gateway/gateway.cc).
constexpr uint64_t kBodyShareDivisor = 4;
constexpr uint64_t kBytesPerMebibyte = 1024 * 1024;

class Findings {
 public:
  void Add(FindingSeverity severity,
           ConfigSection section,
           std::string name,
           ConfigField field,
           std::string message) {
    m_findings.push_back(ConfigFinding{.severity = severity,
                                       .subject = {.section = section,
                                                   .name = std::move(name),
                                                   .field = field},
                                       .message = std::move(message)});
  }
  void Warn(ConfigSection section,
            std::string name,
            ConfigField field,
            std::string message) {
    Add(FindingSeverity::kWarning, section, std::move(name), field,
        std::move(message));
  }
  std::vector<ConfigFinding> Take() { return std::move(m_findings); }

 private:
  std::vector<ConfigFinding> m_findings;
};

bool HasUpperCase(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isupper(c) != 0; });
}

void CheckMatch(const ServingConfig& config, Findings& findings) {
  using Place = std::pair<std::string_view, std::string_view>;
  std::map<Place, std::string_view> first_routes;
  std::set<std::string_view> names;
  for (const Route& route : config.routes) {
    const auto warn = [&](ConfigField field, std::string message) {
      findings.Warn(ConfigSection::kRoute, route.name, field,
                    std::move(message));
    };
    const auto [first, is_new] =
        first_routes.try_emplace({route.host, route.path_prefix}, route.name);
    if (!is_new) {
      warn(ConfigField::kPathPrefix,
           fmt::format("never matches: route {} has the same host and prefix",
                       first->second));
    }
    if (!names.insert(route.name).second) {
      warn(ConfigField::kNone, "another route has the same name");
    }
    if (HasUpperCase(route.host)) {
      warn(ConfigField::kHost,
           fmt::format("never matches: \"{}\" has capitals, and hosts of "
                       "requests are compared in lower case",
                       route.host));
    }
    if (!route.path_prefix.starts_with('/')) {
      warn(ConfigField::kPathPrefix,
           fmt::format("never matches: \"{}\" does not begin with a slash",
                       route.path_prefix));
    } else if (!route.path_prefix.ends_with('/')) {
      warn(ConfigField::kPathPrefix,
           fmt::format("\"{}\" does not end with a slash, so it also matches "
                       "longer words",
                       route.path_prefix));
    }
    uint64_t weights = 0;
    for (const RouteTarget& target : route.targets) {
      weights += target.weight;
      if (target.weight == 0 && route.targets.size() > 1) {
        warn(ConfigField::kTargets,
             fmt::format("service {} has weight 0 and gets no request",
                         target.service.value()));
      }
      if (!config.services.contains(target.service)) {
        warn(ConfigField::kTargets,
             fmt::format("service {} is not there", target.service.value()));
      }
    }
    if (weights == 0) {
      warn(ConfigField::kTargets,
           fmt::format("all weights are 0: service {} gets all requests",
                       route.targets.back().service.value()));
    }
  }
  std::set<ServiceName> used;
  for (const Route& route : config.routes) {
    for (const RouteTarget& target : route.targets) {
      used.insert(target.service);
    }
  }
  for (const auto& [name, service] : config.services) {
    if (!used.contains(name)) {
      findings.Warn(ConfigSection::kService, name.value(), ConfigField::kNone,
                    "no route leads to it");
    }
  }
  std::set<CustomerName> holders;
  for (const auto& [key, customer] : config.api_keys) {
    holders.insert(customer);
  }
  for (const auto& [name, customer] : config.customers) {
    if (!holders.contains(name)) {
      findings.Warn(ConfigSection::kCustomer, name.value(),
                    ConfigField::kApiKeys, "it has no key of its own");
    }
  }
}

void CheckTimes(const Route& route, Findings& findings) {
  const auto warn = [&](ConfigField field, std::string message) {
    findings.Warn(ConfigSection::kRoute, route.name, field, std::move(message));
  };
  if (route.timeout.count() <= 0) {
    warn(ConfigField::kTimeout, "0 ms: no request can be answered in its time");
    return;
  }
  if (route.latency_target > route.timeout) {
    warn(ConfigField::kLatencyTarget,
         fmt::format("{} ms is above the timeout of {} ms",
                     route.latency_target.count(), route.timeout.count()));
  }
  const bool is_stream = route.kind == RouteKind::kStream;
  if (is_stream && route.gap_target > route.timeout) {
    warn(ConfigField::kGapTarget,
         fmt::format("{} ms is above the timeout of {} ms",
                     route.gap_target.count(), route.timeout.count()));
  }
  if (route.maximum_attempts == 0) {
    warn(ConfigField::kMaximumAttempts, "0: no request may be executed");
  }
  if (route.maximum_attempts < 2) {
    return;
  }
  if (is_stream && !route.is_resumable) {
    findings.Add(FindingSeverity::kNotice, ConfigSection::kRoute, route.name,
                 ConfigField::kMaximumAttempts,
                 fmt::format("{}, but a stream that cannot be resumed is "
                             "executed once",
                             route.maximum_attempts));
    return;
  }
  const auto needed = kStallFactor * route.latency_target +
                      route.latency_target / kMinimumTimeDivisor;
  if (route.kind != RouteKind::kNonIdempotent && route.timeout <= needed) {
    warn(ConfigField::kMaximumAttempts,
         fmt::format("{}, but the timeout of {} ms leaves no time for a second "
                     "attempt when the first one stalls; it takes more than {} "
                     "ms",
                     route.maximum_attempts, route.timeout.count(),
                     needed.count()));
  }
}

void CheckPriorities(const ServingConfig& config, Findings& findings) {
  std::map<ServiceName, std::pair<std::set<uint32_t>, size_t>> priorities;
  for (const Route& route : config.routes) {
    for (const RouteTarget& target : route.targets) {
      auto& [distinct, routes] = priorities[target.service];
      distinct.insert(route.priority);
      ++routes;
    }
  }
  const bool customers_differ =
      std::any_of(config.customers.begin(), config.customers.end(),
                  [](const auto& customer) {
                    return customer.second.priority.has_value();
                  });
  for (const auto& [name, of_service] : priorities) {
    const auto service = config.services.find(name);
    if (service != config.services.end() && service->second.engine &&
        of_service.second > 1 && of_service.first.size() == 1 &&
        !customers_differ) {
      findings.Add(FindingSeverity::kNotice, ConfigSection::kService,
                   name.value(), ConfigField::kPriority,
                   fmt::format("all {} routes have priority {}: when room is "
                               "short, none comes first",
                               of_service.second, *of_service.first.begin()));
    }
  }
}

void CheckServices(const ServingConfig& config,
                   const DeploymentFacts& facts,
                   Findings& findings) {
  for (const auto& [name, service] : config.services) {
    if (facts.nodes && service.maximum_connections > 0 &&
        service.maximum_connections < *facts.nodes) {
      findings.Warn(ConfigSection::kService, name.value(),
                    ConfigField::kMaximumConnections,
                    fmt::format("{} connections are fewer than the {} nodes",
                                service.maximum_connections, *facts.nodes));
    }
    if (service.engine && service.engine->slots == 0) {
      findings.Warn(ConfigSection::kService, name.value(), ConfigField::kEngine,
                    "0 slots: no request can run");
    }
    if (!service.scaling) {
      continue;
    }
    if (service.scaling->maximum == 0) {
      findings.Warn(ConfigSection::kService, name.value(),
                    ConfigField::kScaling, "at most 0 workers may be ordered");
    }
    if (service.scaling->prices.empty()) {
      findings.Warn(ConfigSection::kService, name.value(),
                    ConfigField::kScaling,
                    "no data centre has a price, so none is ordered from");
    }
  }
}

// Tokens per second that the engines of all services may read at most.
double EngineTokensPerSecond(const ServingConfig& config,
                             double worker_tokens_per_second) {
  double tokens = 0.0;
  for (const auto& [name, service] : config.services) {
    if (service.engine && service.scaling) {
      tokens += worker_tokens_per_second * service.scaling->maximum *
                static_cast<double>(service.scaling->prices.size());
    }
  }
  return tokens;
}

void CheckCustomers(const ServingConfig& config,
                    const DeploymentFacts& facts,
                    Findings& findings) {
  const double capacity =
      facts.worker_tokens_per_second
          ? EngineTokensPerSecond(config, *facts.worker_tokens_per_second)
          : 0.0;
  for (const auto& [name, customer] : config.customers) {
    if (customer.rate_per_second <= 0.0) {
      continue;
    }
    const double one = customer.counts_tokens ? customer.default_tokens : 1.0;
    if (customer.burst < one) {
      findings.Warn(
          ConfigSection::kCustomer, name.value(), ConfigField::kBurst,
          fmt::format("{} is less than one request, which counts as {}",
                      customer.burst, one));
    }
    if (capacity > 0.0 && customer.counts_tokens &&
        customer.rate_per_second > capacity) {
      findings.Warn(
          ConfigSection::kCustomer, name.value(), ConfigField::kRate,
          fmt::format("{:.0f} tokens/s are above the {:.0f} that the most "
                      "workers of all services can read",
                      customer.rate_per_second, capacity));
    }
  }
}

void CheckCallerLimits(const CallerLimits& limits,
                       const DeploymentFacts& facts,
                       Findings& findings) {
  const auto warn = [&](ConfigField field, std::string message) {
    findings.Warn(ConfigSection::kCallerLimits, "", field, std::move(message));
  };
  if (limits.header_bytes == 0) {
    warn(ConfigField::kHeaderBytes, "0 bytes: every request is refused");
  }
  if (limits.header_timeout.count() <= 0) {
    warn(ConfigField::kHeaderTimeout, "0 ms: every request is refused");
  }
  if (limits.idle_timeout.count() <= 0) {
    warn(ConfigField::kIdleTimeout,
         "0 ms: no connection can be used a second time");
  }
  if (facts.node_mebibytes && limits.body_bytes > *facts.node_mebibytes *
                                                      kBytesPerMebibyte /
                                                      kBodyShareDivisor) {
    warn(ConfigField::kBodyBytes,
         fmt::format("one body of {} bytes is more than the quarter of {} MiB "
                     "that a node has for all bodies",
                     limits.body_bytes, *facts.node_mebibytes));
  }
}

}  // namespace

std::vector<ConfigFinding> CheckConfig(const ServingConfig& config,
                                       const DeploymentFacts& facts) {
  Findings findings;
  if (config.routes.empty()) {
    findings.Warn(ConfigSection::kConfig, "", ConfigField::kNone,
                  "there is no route: every request is refused");
  }
  CheckMatch(config, findings);
  for (const Route& route : config.routes) {
    CheckTimes(route, findings);
  }
  CheckPriorities(config, findings);
  CheckServices(config, facts, findings);
  CheckCustomers(config, facts, findings);
  CheckCallerLimits(config.caller_limits, facts, findings);
  return findings.Take();
}

}  // namespace pistachiowalk
