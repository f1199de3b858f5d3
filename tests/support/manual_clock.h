#pragma once

#include "base/clock.h"

namespace pistachiowalk::testing {

// A clock that advances only when the test calls Advance().
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return m_now; }
  std::chrono::system_clock::time_point WallNow() const override {
    return std::chrono::system_clock::time_point(
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            m_now.time_since_epoch()));
  }
  void Advance(Duration duration) { m_now += duration; }

 private:
  TimePoint m_now{};
};

}  // namespace pistachiowalk::testing
