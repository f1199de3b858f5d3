#pragma once

#include <variant>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// Requests a VM from the cloud. The controller chooses the id, so a repeated
// call does not start a second VM.
struct StartVm {
  VmId id;
  ServiceName service;
  PlaceName place;
  VmClassName vm_class;

  friend auto operator<=>(const StartVm&, const StartVm&) = default;
};

// Orders an endpoint to accept no new requests.
struct DrainVm {
  VmId id;

  friend auto operator<=>(const DrainVm&, const DrainVm&) = default;
};

// Returns a VM to the cloud.
struct StopVm {
  VmId id;

  friend auto operator<=>(const StopVm&, const StopVm&) = default;
};

using FleetCommand = std::variant<StartVm, DrainVm, StopVm>;
using FleetCommands = std::vector<FleetCommand>;

}  // namespace pistachiowalk
