#include "fleet/demand_window.h"

#include <algorithm>
#include <chrono>

namespace pistachiowalk {
namespace {

constexpr Duration kBucketLength = std::chrono::minutes(1);
// A decrease must last this long before the forecast follows it.
constexpr Duration kHoldTime = std::chrono::minutes(15);
// The trend compares the newest buckets with as many before them.
constexpr size_t kTrendBuckets = 5;

}  // namespace

double DemandWindow::MeanOf(const Bucket& bucket) {
  return bucket.sum / bucket.samples;
}

void DemandWindow::Add(double slots, TimePoint now) {
  if (m_buckets.empty() || now - m_buckets.back().start >= kBucketLength) {
    m_buckets.push_back(Bucket{.start = now});
  }
  m_buckets.back().sum += slots;
  ++m_buckets.back().samples;
  while (now - m_buckets.front().start > kHoldTime) {
    m_buckets.pop_front();
  }
}

double DemandWindow::Forecast(Duration lead, TimePoint now) const {
  if (m_buckets.empty() || now - m_buckets.back().start > kHoldTime) {
    return 0.0;
  }
  double highest = 0.0;
  for (const Bucket& bucket : m_buckets) {
    highest = std::max(highest, MeanOf(bucket));
  }
  if (m_buckets.size() < 2 * kTrendBuckets) {
    return highest;
  }
  double newer = 0.0;
  double older = 0.0;
  for (size_t i = 0; i < kTrendBuckets; ++i) {
    newer += MeanOf(m_buckets[m_buckets.size() - 1 - i]) / kTrendBuckets;
    older += MeanOf(m_buckets[m_buckets.size() - 1 - kTrendBuckets - i]) /
             kTrendBuckets;
  }
  const double rise_per_bucket = (newer - older) / kTrendBuckets;
  const double buckets_ahead = std::chrono::duration<double>(lead) /
                               std::chrono::duration<double>(kBucketLength);
  return highest + std::max(0.0, rise_per_bucket * buckets_ahead);
}

}  // namespace pistachiowalk
