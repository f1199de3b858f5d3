#include "rollout/rollout_report.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {

VersionCounts operator+(const VersionCounts& a, const VersionCounts& b) {
  VersionCounts sum{
      .sent = a.sent + b.sent, .good = a.good + b.good, .bad = a.bad + b.bad};
  for (size_t bucket = 0; bucket < kRolloutTimeBuckets; ++bucket) {
    sum.times.at(bucket) = a.times.at(bucket) + b.times.at(bucket);
  }
  return sum;
}

VersionCounts operator-(const VersionCounts& later,
                        const VersionCounts& earlier) {
  const auto difference = [](uint32_t a, uint32_t b) {
    return a - std::min(a, b);
  };
  VersionCounts more{.sent = difference(later.sent, earlier.sent),
                     .good = difference(later.good, earlier.good),
                     .bad = difference(later.bad, earlier.bad)};
  for (size_t bucket = 0; bucket < kRolloutTimeBuckets; ++bucket) {
    more.times.at(bucket) =
        difference(later.times.at(bucket), earlier.times.at(bucket));
  }
  return more;
}

size_t RolloutTimeBucket(double milliseconds) {
  if (!(milliseconds > 1.0)) {
    return 0;
  }
  const double bucket = std::floor(2.0 * std::log2(milliseconds));
  return static_cast<size_t>(
      std::min(bucket, static_cast<double>(kRolloutTimeBuckets - 1)));
}

}  // namespace pistachiowalk
