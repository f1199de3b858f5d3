#pragma once

#include <cstdint>
#include <string>

#include "config_check/config_subject.h"

namespace pistachiowalk {

// The worst first.
enum class FindingSeverity : uint8_t {
  // A node refuses the config.
  kError,
  // A node takes it, but a part of it can have no effect or contradicts another
  // one.
  kWarning,
  // Worth knowing; does not count under --strict.
  kNotice,
};

// Something about a config that its author probably did not intend.
struct ConfigFinding {
  FindingSeverity severity = FindingSeverity::kWarning;
  ConfigSubject subject;
  std::string message;

  friend auto operator<=>(const ConfigFinding&, const ConfigFinding&) = default;
};

}  // namespace pistachiowalk
