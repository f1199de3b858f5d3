#include "serving/response_times.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

using Milliseconds = std::chrono::duration<float, std::milli>;

constexpr size_t kMinimumSamples = 5;
constexpr double kQuantile = 0.9;

}  // namespace

void ResponseTimes::Add(Duration time) {
  m_samples[m_count % kSamples] =
      std::chrono::duration_cast<Milliseconds>(time).count();
  ++m_count;
}

Duration ResponseTimes::Expected(Duration without_samples) const {
  const size_t count = std::min(m_count, kSamples);
  if (count < kMinimumSamples) {
    return without_samples;
  }
  std::array<float, kSamples> sorted = m_samples;
  const auto rank = static_cast<size_t>(kQuantile * static_cast<double>(count));
  const auto end = sorted.begin() + static_cast<ptrdiff_t>(count);
  const auto quantile = sorted.begin() + static_cast<ptrdiff_t>(rank);
  std::nth_element(sorted.begin(), quantile, end);
  return std::chrono::duration_cast<Duration>(Milliseconds(*quantile));
}

}  // namespace pistachiowalk
