#pragma once

#include "base/clock.h"

namespace pistachiowalk {

// Measures the recent rate of work as an exponentially decaying average.
class LoadMeter {
 public:
  void Add(double amount, TimePoint now);
  // Returns the amount per second.
  double Rate(TimePoint now) const;

 private:
  double m_sum = 0.0;
  TimePoint m_updated_at{};
};

}  // namespace pistachiowalk
