#pragma once

#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace pistachiowalk {

// Recent demand of one service in one region. The forecast follows an increase
// at once but a decrease only after it has lasted, to avoid flapping.
class DemandWindow {
 public:
  // Adds a sample of the concurrent requests, running and queued.
  void Add(double slots, TimePoint now);
  // Demand to plan for at `now` + `lead`.
  double Forecast(Duration lead, TimePoint now) const;

 private:
  struct Bucket {
    TimePoint start;
    double sum = 0.0;
    uint32_t samples = 0;
  };

  static double MeanOf(const Bucket& bucket);

  std::deque<Bucket> m_buckets;
};

}  // namespace pistachiowalk
