#pragma once

#include "base/clock.h"

namespace pistachiowalk {

// Rate of work over the last seconds, by exponential decay.
class LoadMeter {
 public:
  void Add(double amount, TimePoint now);
  // Amount a second.
  double Rate(TimePoint now) const;

 private:
  double m_sum = 0.0;
  TimePoint m_updated_at{};
};

}  // namespace pistachiowalk
