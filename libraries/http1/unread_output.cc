#include "http1/unread_output.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pistachiowalk {
namespace {

// What a steady client reads in the time after which others are stalled.
constexpr uint64_t kSteadyBytes = 8 * 1024;
constexpr uint64_t kMinimumOutputProgress = 1024;

}  // namespace

OutputProgress BeginOutputProgress(uint64_t arrived_bytes, TimePoint now) {
  return OutputProgress{.steady_at = now,
                        .steady_bytes = arrived_bytes,
                        .progress_at = now,
                        .progress_bytes = arrived_bytes};
}

OutputProgress NoteArrived(OutputProgress progress,
                           uint64_t arrived_bytes,
                           TimePoint now) {
  if (arrived_bytes >= progress.steady_bytes + kSteadyBytes) {
    progress.steady_at = now;
    progress.steady_bytes = arrived_bytes;
  }
  if (arrived_bytes >= progress.progress_bytes + kMinimumOutputProgress) {
    progress.progress_at = now;
    progress.progress_bytes = arrived_bytes;
  }
  return progress;
}

std::vector<size_t> ChooseConnectionsToGiveWay(
    const std::vector<UnreadOutput>& outputs,
    size_t excess_bytes) {
  std::vector<size_t> order(outputs.size());
  std::iota(order.begin(), order.end(), size_t{0});
  const auto rank = [&](size_t index) {
    return std::pair(outputs[index].stalled, outputs[index].held_bytes);
  };
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return rank(a) > rank(b); });
  size_t freed_bytes = 0;
  size_t count = 0;
  while (count < order.size() && freed_bytes < excess_bytes) {
    freed_bytes += outputs[order[count++]].held_bytes;
  }
  order.resize(count);
  return order;
}

}  // namespace pistachiowalk
