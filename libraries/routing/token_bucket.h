#pragma once

#include "base/clock.h"

namespace pistachiowalk {

// State of a token bucket rate limiter; the caller passes the current time.
struct TokenBucket {
  double tokens = 0.0;
  TimePoint refilled_at{};

  friend auto operator<=>(const TokenBucket&, const TokenBucket&) = default;
};

// Adds the tokens accrued since the last refill, up to `burst`.
void RefillBucket(TokenBucket& bucket,
                  double rate_per_second,
                  double burst,
                  TimePoint now);
// Takes `count` tokens if available; returns whether they were.
bool TakeTokens(TokenBucket& bucket, double count);

}  // namespace pistachiowalk
