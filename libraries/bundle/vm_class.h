#pragma once

#include <cstdint>

#include "base/ids.h"

namespace pistachiowalk {

// A VM type that the cloud offers for endpoints.
struct VmClass {
  VmClassName name;
  bool is_reclaimable = false;
  // Price per hour in currency units, before the place's price factor is
  // applied.
  double price_per_hour = 0.0;
  uint32_t accelerators = 0;
  // Number of sequences that one VM can batch concurrently.
  uint32_t slots = 1;

  friend auto operator<=>(const VmClass&, const VmClass&) = default;
};

}  // namespace pistachiowalk
