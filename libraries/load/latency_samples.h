#pragma once

#include <cstddef>
#include <vector>

#include "base/clock.h"

namespace pistachiowalk {

// Durations collected in a measurement.
class LatencySamples {
 public:
  void Add(Duration sample) { m_samples.push_back(sample); }
  void Merge(const LatencySamples& other);
  size_t Count() const { return m_samples.size(); }
  // Nearest-rank quantile: the smallest sample that at least `fraction` of all
  // samples do not exceed; zero if there are none. `fraction` is from 0 to 1.
  Duration Quantile(double fraction) const;

 private:
  std::vector<Duration> m_samples;
};

}  // namespace pistachiowalk
