#pragma once

#include <chrono>
#include <random>

#include "base/clock.h"

namespace pistachiowalk {

// Calls a second of the platform's store that all followers of the bundle
// together may make.
constexpr double kBundleStoreCallsPerSecond = 200.0;
constexpr Duration kInitialStoreBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaximumStoreBackoff = std::chrono::seconds(15);

// One caller's share of the store's rate and its back-off after failures.
// Nobody counts centrally: each caller knows about how many there are.
class StoreRateLimiter {
 public:
  explicit StoreRateLimiter(TimePoint now) : m_refilled_at(now) {}

  // Takes a token; false when the share is used up or a back-off lasts.
  bool TryAcquire(size_t caller_count, TimePoint now);
  // NOTE: A back-off is drawn from the whole range up to its bound, so that
  // callers whom one outage stopped do not come back together.
  void RecordFailure(TimePoint now, std::mt19937_64& random);
  void RecordSuccess() { m_backoff_limit = kInitialStoreBackoff; }
  TimePoint blocked_until() const { return m_blocked_until; }

 private:
  double m_tokens = 1.0;
  TimePoint m_refilled_at;
  TimePoint m_blocked_until;
  Duration m_backoff_limit = kInitialStoreBackoff;
};

}  // namespace pistachiowalk
