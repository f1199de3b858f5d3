#include "config_check/compare_configs.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "serving/serving_config.h"

namespace pistachiowalk {
namespace {

// Characters of a key that are shown.
constexpr size_t kShownKeyCharacters = 4;

std::string ShortenKey(const std::string& key) {
  return key.size() <= kShownKeyCharacters
             ? "..."
             : key.substr(0, kShownKeyCharacters) + "...";
}

std::string Format(bool value) {
  return value ? "true" : "false";
}

std::string Format(uint64_t value) {
  return std::to_string(value);
}

std::string Format(uint32_t value) {
  return std::to_string(value);
}

std::string Format(double value) {
  return fmt::format("{}", value);
}

std::string Format(std::chrono::milliseconds value) {
  return fmt::format("{} ms", value.count());
}

std::string Format(const std::string& value) {
  return value;
}

std::string Format(const std::optional<uint32_t>& value) {
  return value ? std::to_string(*value) : "none";
}

std::string Format(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kNonIdempotent:
      return "non_idempotent";
    case RouteKind::kStream:
      return "streaming";
  }
  return "";
}

std::string Format(const std::vector<RouteTarget>& targets) {
  std::string text;
  for (const RouteTarget& target : targets) {
    text += (text.empty() ? "" : ", ") +
            fmt::format("{} ({})", target.service.value(), target.weight);
  }
  return text;
}

std::string Format(const std::optional<EngineSpec>& engine) {
  return engine ? fmt::format("{} slots, {} tokens", engine->slots,
                              engine->cache_tokens)
                : "none";
}

std::string Format(const std::optional<ScalingSpec>& scaling) {
  if (!scaling) {
    return "none";
  }
  std::string text = fmt::format(
      "{} to {} workers, start {} ms, reclaimable at {}", scaling->minimum,
      scaling->maximum, scaling->start_time.count(),
      scaling->reclaimable_price_ratio);
  for (const auto& [data_center, price] : scaling->prices) {
    text += fmt::format(", {} {}", data_center.value(), price);
  }
  return text;
}

// Collects the differences of one entry.
class Differences {
 public:
  Differences(std::vector<ConfigChange>& changes,
              ConfigSection section,
              std::string name)
      : m_changes(changes), m_section(section), m_name(std::move(name)) {}

  void Entry(ChangeKind kind) {
    Add(kind, ConfigField::kNone, "", "", ChangeEffect::kNewRequests,
        kind == ChangeKind::kRemoved);
  }

  template <class Value>
  void Field(ConfigField field,
             const Value& before,
             const Value& after,
             bool takes_away = false,
             ChangeEffect effect = ChangeEffect::kNewRequests) {
    if (before != after) {
      Add(ChangeKind::kChanged, field, Format(before), Format(after), effect,
          takes_away);
    }
  }

  void Add(ChangeKind kind,
           ConfigField field,
           std::string before,
           std::string after,
           ChangeEffect effect,
           bool takes_away) {
    m_changes.push_back(ConfigChange{
        .kind = kind,
        .subject = {.section = m_section, .name = m_name, .field = field},
        .before = std::move(before),
        .after = std::move(after),
        .effect = effect,
        .takes_away = takes_away});
  }

 private:
  std::vector<ConfigChange>& m_changes;
  ConfigSection m_section;
  std::string m_name;
};

void CompareRoute(const Route& before, const Route& after, Differences out) {
  out.Field(ConfigField::kHost, before.host, after.host, true);
  out.Field(ConfigField::kPathPrefix, before.path_prefix, after.path_prefix,
            true);
  out.Field(ConfigField::kKind, before.kind, after.kind);
  out.Field(ConfigField::kTargets, before.targets, after.targets);
  out.Field(ConfigField::kTimeout, before.timeout, after.timeout,
            after.timeout < before.timeout);
  out.Field(ConfigField::kLatencyTarget, before.latency_target,
            after.latency_target);
  out.Field(ConfigField::kGapTarget, before.gap_target, after.gap_target);
  out.Field(ConfigField::kMaximumAttempts, before.maximum_attempts,
            after.maximum_attempts);
  out.Field(ConfigField::kPriority, before.priority, after.priority,
            after.priority > before.priority);
  out.Field(ConfigField::kPublic, before.is_public, after.is_public,
            before.is_public);
  out.Field(ConfigField::kResumable, before.is_resumable, after.is_resumable,
            before.is_resumable);
}

void CompareService(const ServiceSpec& before,
                    const ServiceSpec& after,
                    Differences out) {
  out.Field(ConfigField::kMaximumConnections, before.maximum_connections,
            after.maximum_connections, false, ChangeEffect::kAtOnce);
  out.Field(ConfigField::kEngine, before.engine, after.engine);
  out.Field(ConfigField::kScaling, before.scaling, after.scaling, false,
            ChangeEffect::kAtOnce);
}

void CompareCustomer(const CustomerSpec& before,
                     const CustomerSpec& after,
                     Differences out) {
  // NOTE: 0 is no limit.
  const auto falls = [](double from, double to) {
    return to > 0.0 && (from <= 0.0 || to < from);
  };
  out.Field(ConfigField::kPriority, before.priority, after.priority);
  out.Field(ConfigField::kRate, before.rate_per_second, after.rate_per_second,
            falls(before.rate_per_second, after.rate_per_second));
  out.Field(ConfigField::kBurst, before.burst, after.burst,
            after.burst < before.burst);
  out.Field(ConfigField::kUnit, before.counts_tokens, after.counts_tokens);
  out.Field(ConfigField::kDefaultTokens, before.default_tokens,
            after.default_tokens);
}

void CompareLimits(const CallerLimits& before,
                   const CallerLimits& after,
                   Differences out) {
  out.Field(ConfigField::kHeaderBytes, before.header_bytes, after.header_bytes,
            after.header_bytes < before.header_bytes);
  out.Field(ConfigField::kBodyBytes, before.body_bytes, after.body_bytes,
            after.body_bytes < before.body_bytes);
  out.Field(ConfigField::kHeaderTimeout, before.header_timeout,
            after.header_timeout, after.header_timeout < before.header_timeout,
            ChangeEffect::kAtOnce);
  out.Field(ConfigField::kIdleTimeout, before.idle_timeout, after.idle_timeout,
            after.idle_timeout < before.idle_timeout, ChangeEffect::kAtOnce);
}

// Calls `compare` for entries that both have, and adds the others as removed or
// added.
template <class Key, class Entry, class NameOf, class Compare>
void CompareEntries(const std::map<Key, Entry>& before,
                    const std::map<Key, Entry>& after,
                    ConfigSection section,
                    std::vector<ConfigChange>& changes,
                    const NameOf& name_of,
                    const Compare& compare) {
  for (const auto& [key, entry] : before) {
    Differences out(changes, section, name_of(key));
    const auto other = after.find(key);
    if (other == after.end()) {
      out.Entry(ChangeKind::kRemoved);
    } else {
      compare(entry, other->second, out);
    }
  }
  for (const auto& [key, entry] : after) {
    if (!before.contains(key)) {
      Differences(changes, section, name_of(key)).Entry(ChangeKind::kAdded);
    }
  }
}

using RoutesByName = std::map<std::string_view, const Route*>;

RoutesByName IndexRoutes(const ServingConfig& config) {
  RoutesByName routes;
  for (const Route& route : config.routes) {
    routes.try_emplace(route.name, &route);
  }
  return routes;
}

void CompareKeys(const ServingConfig& before,
                 const ServingConfig& after,
                 std::vector<ConfigChange>& changes) {
  const auto add = [&](ChangeKind kind, const CustomerName& customer,
                       const std::string& key) {
    const bool is_removed = kind == ChangeKind::kRemoved;
    Differences(changes, ConfigSection::kCustomer, customer.value())
        .Add(kind, ConfigField::kApiKeys, is_removed ? ShortenKey(key) : "",
             is_removed ? "" : ShortenKey(key), ChangeEffect::kNewRequests,
             is_removed);
  };
  for (const auto& [key, customer] : before.api_keys) {
    const auto other = after.api_keys.find(key);
    if (other == after.api_keys.end() || other->second != customer) {
      add(ChangeKind::kRemoved, customer, key);
    }
  }
  for (const auto& [key, customer] : after.api_keys) {
    const auto other = before.api_keys.find(key);
    if (other == before.api_keys.end() || other->second != customer) {
      add(ChangeKind::kAdded, customer, key);
    }
  }
}

}  // namespace

std::vector<ConfigChange> CompareConfigs(const ServingConfig& in_force,
                                         const ServingConfig& next) {
  std::vector<ConfigChange> changes;
  Differences(changes, ConfigSection::kConfig, "")
      .Field(ConfigField::kVersion, in_force.version, next.version);
  CompareEntries(
      IndexRoutes(in_force), IndexRoutes(next), ConfigSection::kRoute, changes,
      [](std::string_view name) { return std::string(name); },
      [](const Route* before, const Route* after, const Differences& out) {
        CompareRoute(*before, *after, out);
      });
  const auto value_of = [](const auto& name) { return name.value(); };
  CompareEntries(in_force.services, next.services, ConfigSection::kService,
                 changes, value_of, CompareService);
  CompareEntries(in_force.customers, next.customers, ConfigSection::kCustomer,
                 changes, value_of, CompareCustomer);
  CompareKeys(in_force, next, changes);
  CompareLimits(in_force.caller_limits, next.caller_limits,
                Differences(changes, ConfigSection::kCallerLimits, ""));
  return changes;
}

}  // namespace pistachiowalk
