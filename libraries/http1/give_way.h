#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace pistachiowalk {

// A body that is being received.
struct ReceivedBody {
  // Memory that it holds of the part in which room is wanted.
  size_t held_bytes = 0;
  // Since the caller last sent as much as a steady caller does.
  Duration stalled{};
  // Set if its connection is not read until there is room: for how long, and
  // for how many bytes more.
  std::optional<Duration> waited;
  size_t wanted_bytes = 0;

  friend bool operator==(const ReceivedBody&, const ReceivedBody&) = default;
};

// Chooses the bodies that give way so that the one that has waited longest gets
// its room, of which `free_bytes` are free already. Returns their indices.
//
// Load: callers that stop short of the end of their bodies and stay connected,
// beside others whose bodies are long but arrive steadily. Stalled bodies give
// way, those that stalled longest before others and of those the largest; and
// each that has waited for too long. Peer addresses play no part, as all
// callers may come through one balancer.
std::vector<size_t> ChooseBodiesToGiveWay(
    const std::vector<ReceivedBody>& bodies,
    size_t free_bytes);

}  // namespace pistachiowalk
