#pragma once

#include <vector>

#include "config_check/config_change.h"

namespace pistachiowalk {

struct ServingConfig;

// Returns how `next` differs from `in_force`, by name, in the order of the
// config's sections. Keys are shortened, as they are secrets.
std::vector<ConfigChange> CompareConfigs(const ServingConfig& in_force,
                                         const ServingConfig& next);

}  // namespace pistachiowalk
