#include "following/true_time.h"

#include <algorithm>

#include "following/following_log_events.h"

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Fewer other nodes are no majority.
constexpr size_t kLeastOthers = 2;
// Clocks and digests differ by this much without any fault.
constexpr auto kTolerance = milliseconds(400);

}  // namespace

TrueTime::TrueTime(TimePoint now, std::chrono::system_clock::time_point wall)
    : m_anchor(now), m_wall(wall) {}

std::chrono::system_clock::time_point TrueTime::At(TimePoint now) const {
  return m_wall +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
             now - m_anchor);
}

void TrueTime::Compare(
    std::vector<std::chrono::system_clock::time_point> others,
    TimePoint now) {
  if (others.size() < kLeastOthers) {
    return;
  }
  const auto middle =
      others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  const auto difference = *middle - At(now);
  if (std::chrono::abs(difference) <= kTolerance) {
    return;
  }
  LogEvent(following_log::kClockCorrected,
           {{"milliseconds",
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(difference).count())},
            {"peers", std::to_string(others.size())}});
  m_anchor = now;
  m_wall = *middle;
}

}  // namespace pistachiowalk
