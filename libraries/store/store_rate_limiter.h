#pragma once

#include <chrono>
#include <random>

#include "base/clock.h"

namespace pistachiowalk {

// Calls per second that all watchers of the bundle together may make to the
// platform's store.
constexpr double kBundleStoreCallsPerSecond = 200.0;
constexpr Duration kInitialStoreBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaximumStoreBackoff = std::chrono::seconds(15);

// Limits one client's calls to the store to its share of the total rate, and
// backs off after failures. There is no central accounting: each client divides
// the rate by its own estimate of the number of clients.
class StoreRateLimiter {
 public:
  explicit StoreRateLimiter(TimePoint now) : m_refilled_at(now) {}

  // Takes a token. Returns false if none is left or a back-off is in progress.
  bool TryAcquire(size_t caller_count, TimePoint now);
  // NOTE: The back-off is drawn at random from the whole range up to its limit,
  // so that clients affected by the same outage do not retry simultaneously.
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
