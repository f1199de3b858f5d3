#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/ids.h"

namespace pistachiowalk {

enum class FleetVmState {
  // Requested from the cloud but not serving yet.
  kStarting,
  kServing,
  // Accepts no new requests and stops when those in flight have ended.
  kDraining,
  // Under a reclaim notice.
  kLeaving,
};

// One endpoint VM as tracked by the fleet controller.
struct FleetVm {
  VmId id;
  ServiceName service;
  PlaceName place;
  VmClassName vm_class;
  FleetVmState state = FleetVmState::kStarting;
  // When it entered this state.
  TimePoint since{};
  // An overdue start has been replaced, but the VM may still come up.
  bool is_overdue = false;
  uint32_t in_flight = 0;

  friend auto operator<=>(const FleetVm&, const FleetVm&) = default;
};

}  // namespace pistachiowalk
