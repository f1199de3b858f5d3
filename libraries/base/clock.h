#pragma once

#include <chrono>

namespace pistachiowalk {

// Monotonic time. Cores receive it as an argument and never read a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Source of time for shells, the code that does I/O; tests pass their own.
class Clock {
 public:
  virtual ~Clock() = default;

  // Monotonic time, for deadlines and timers.
  virtual TimePoint Now() const = 0;
  // Wall clock time, for audit records only.
  virtual std::chrono::system_clock::time_point WallNow() const = 0;
};

}  // namespace pistachiowalk
