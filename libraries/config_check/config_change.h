#pragma once

#include <cstdint>
#include <string>

#include "config_check/config_subject.h"

namespace pistachiowalk {

enum class ChangeKind : uint8_t { kRemoved, kChanged, kAdded };

enum class ChangeEffect : uint8_t {
  // Also on what callers who are connected already have.
  kAtOnce,
  // Requests that were accepted before end under the former config.
  kNewRequests,
};

// One difference between the config in force and the one to be sent.
struct ConfigChange {
  ChangeKind kind = ChangeKind::kChanged;
  ConfigSubject subject;
  // "" for an entry that was added or removed.
  std::string before;
  std::string after;
  ChangeEffect effect = ChangeEffect::kNewRequests;
  // Callers lose something that they have now.
  bool takes_away = false;

  friend auto operator<=>(const ConfigChange&, const ConfigChange&) = default;
};

}  // namespace pistachiowalk
