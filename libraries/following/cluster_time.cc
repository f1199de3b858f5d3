#include "following/cluster_time.h"

#include <algorithm>

#include "following/following_log_events.h"

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// With fewer peers there is no majority.
constexpr size_t kMinimumPeers = 2;
// Differences due to clock precision and the delay of digests.
constexpr auto kTolerance = milliseconds(400);

}  // namespace

ClusterTime::ClusterTime(TimePoint now,
                         std::chrono::system_clock::time_point wall)
    : m_anchor(now), m_anchor_wall(wall) {}

std::chrono::system_clock::time_point ClusterTime::At(TimePoint now) const {
  return m_anchor_wall +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
             now - m_anchor);
}

void ClusterTime::Synchronize(
    std::vector<std::chrono::system_clock::time_point> peer_times,
    TimePoint now) {
  if (peer_times.size() < kMinimumPeers) {
    return;
  }
  const auto middle =
      peer_times.begin() + static_cast<std::ptrdiff_t>(peer_times.size() / 2);
  std::nth_element(peer_times.begin(), middle, peer_times.end());
  const auto difference = *middle - At(now);
  if (std::chrono::abs(difference) <= kTolerance) {
    return;
  }
  LogEvent(following_log::kClockCorrected,
           {{"milliseconds",
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(difference).count())},
            {"peers", std::to_string(peer_times.size())}});
  m_anchor = now;
  m_anchor_wall = *middle;
}

}  // namespace pistachiowalk
