#include "store/store_rate_limiter.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

constexpr double kMaximumBurst = 4.0;

}  // namespace

bool StoreRateLimiter::TryAcquire(size_t caller_count, TimePoint now) {
  const double rate = kBundleStoreCallsPerSecond /
                      static_cast<double>(std::max<size_t>(caller_count, 1));
  const std::chrono::duration<double> passed = now - m_refilled_at;
  m_tokens = std::min(kMaximumBurst, m_tokens + passed.count() * rate);
  m_refilled_at = now;
  if (now < m_blocked_until || m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

void StoreRateLimiter::RecordFailure(TimePoint now, std::mt19937_64& random) {
  std::uniform_int_distribution<Duration::rep> delay(
      kInitialStoreBackoff.count() / 2, m_backoff_limit.count());
  m_blocked_until = now + Duration(delay(random));
  m_backoff_limit = std::min(m_backoff_limit * 2, kMaximumStoreBackoff);
}

}  // namespace pistachiowalk
