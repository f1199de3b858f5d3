#pragma once

#include <chrono>

#include "base/ids.h"
#include "store/store_position.h"

namespace pistachiowalk {

// The operator's order to move the requests of a service to workers of another
// version, which run beside those of the old versions. A later order for the
// same service replaces it.
struct RolloutOrder {
  ServiceName service;
  SoftwareVersion target;
  // Time from the order until its outcome is due.
  std::chrono::milliseconds duration{0};
  // Of the order in the store; identifies it.
  StorePosition position;

  friend auto operator<=>(const RolloutOrder&, const RolloutOrder&) = default;
};

}  // namespace pistachiowalk
