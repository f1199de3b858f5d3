#include "load/latency_samples.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {

void LatencySamples::Merge(const LatencySamples& other) {
  m_samples.insert(m_samples.end(), other.m_samples.begin(),
                   other.m_samples.end());
}

Duration LatencySamples::Quantile(double fraction) const {
  if (m_samples.empty()) {
    return Duration::zero();
  }
  std::vector<Duration> sorted = m_samples;
  const auto rank = static_cast<size_t>(
      std::ceil(fraction * static_cast<double>(sorted.size())));
  const size_t index = std::clamp<size_t>(rank, 1, sorted.size()) - 1;
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

}  // namespace pistachiowalk
