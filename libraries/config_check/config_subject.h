#pragma once

#include <cstdint>
#include <string>

namespace pistachiowalk {

enum class ConfigSection : uint8_t {
  kConfig,
  kRoute,
  kService,
  kCustomer,
  kCallerLimits,
};

enum class ConfigField : uint8_t {
  // The entry as a whole.
  kNone,
  kVersion,
  kHost,
  kPathPrefix,
  kKind,
  kTargets,
  kTimeout,
  kLatencyTarget,
  kGapTarget,
  kMaximumAttempts,
  kPriority,
  kPublic,
  kResumable,
  kMaximumConnections,
  kEngine,
  kScaling,
  kRate,
  kBurst,
  kUnit,
  kDefaultTokens,
  kApiKeys,
  kHeaderBytes,
  kBodyBytes,
  kHeaderTimeout,
  kIdleTimeout,
};

// A place in a config, without the names that its text has for it.
struct ConfigSubject {
  ConfigSection section = ConfigSection::kConfig;
  // Of the route, service or customer; "" in the other sections.
  std::string name;
  ConfigField field = ConfigField::kNone;

  friend auto operator<=>(const ConfigSubject&, const ConfigSubject&) = default;
};

}  // namespace pistachiowalk
