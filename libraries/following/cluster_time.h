#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace pistachiowalk {

// The time of day agreed on by the majority of nodes. A node's own wall clock
// may jump by seconds and back, so it is read once and extrapolated with the
// monotonic clock. If the result differs from the median of the other nodes'
// times, the median is adopted.
class ClusterTime {
 public:
  ClusterTime(TimePoint now, std::chrono::system_clock::time_point wall);

  std::chrono::system_clock::time_point At(TimePoint now) const;
  // Corrects the time by the other nodes' times, taken at `now`.
  void Synchronize(
      std::vector<std::chrono::system_clock::time_point> peer_times,
      TimePoint now);

 private:
  TimePoint m_anchor;
  std::chrono::system_clock::time_point m_anchor_wall;
};

}  // namespace pistachiowalk
