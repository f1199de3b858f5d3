#pragma once

#include "base/clock.h"

namespace pistachiowalk {

// The clocks of the operating system.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
  std::chrono::system_clock::time_point WallNow() const override;
};

}  // namespace pistachiowalk
