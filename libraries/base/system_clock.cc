#include "base/system_clock.h"

namespace pistachiowalk {

TimePoint SystemClock::Now() const {
  return std::chrono::steady_clock::now();
}

std::chrono::system_clock::time_point SystemClock::WallNow() const {
  return std::chrono::system_clock::now();
}

}  // namespace pistachiowalk
