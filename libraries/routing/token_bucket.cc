#include "routing/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace pistachiowalk {

void RefillBucket(TokenBucket& bucket,
                  double rate_per_second,
                  double burst,
                  TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens =
      std::min(burst, bucket.tokens + std::max(0.0, seconds) * rate_per_second);
  bucket.refilled_at = std::max(bucket.refilled_at, now);
}

bool TakeTokens(TokenBucket& bucket, double count) {
  if (bucket.tokens < count) {
    return false;
  }
  bucket.tokens -= count;
  return true;
}

}  // namespace pistachiowalk
