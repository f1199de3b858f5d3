#pragma once

#include "base/ids.h"

namespace pistachiowalk {

// An availability zone in which VMs run, with the data centre and region that
// it belongs to.
struct Place {
  PlaceName name;
  DataCenterName data_center;
  RegionName region;
  // Multiplier for the price of every VM class in this place.
  double price_factor = 1.0;

  friend auto operator<=>(const Place&, const Place&) = default;
};

}  // namespace pistachiowalk
