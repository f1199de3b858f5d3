#pragma once

#include <cstdint>

#include "base/ids.h"

namespace pistachiowalk {

// One class of VM at one place, at its current price.
struct Offer {
  PlaceName place;
  DataCenterName data_center;
  RegionName region;
  VmClassName vm_class;
  bool is_reclaimable = false;
  double price_per_hour = 0.0;
  // Concurrent requests that one VM can serve.
  uint32_t slots = 1;
  // Maximum number of VMs of the service here. During back-off it is the number
  // of VMs that run already.
  uint32_t maximum_vms = 0;
  // Learned reclaims of one VM per hour.
  double reclaims_per_hour = 0.0;

  friend auto operator<=>(const Offer&, const Offer&) = default;
};

}  // namespace pistachiowalk
