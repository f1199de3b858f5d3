#include "http1/give_way.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// A body is stalled after this time without progress.
constexpr Duration kStallTime = std::chrono::seconds(1);
// Time that a body waits for room.
constexpr Duration kMaximumWaitTime = std::chrono::seconds(4);

}  // namespace

std::vector<size_t> ChooseBodiesToGiveWay(
    const std::vector<ReceivedBody>& bodies,
    size_t free_bytes) {
  std::vector<size_t> chosen;
  std::vector<size_t> stalled;
  std::vector<size_t> waiting;
  for (size_t i = 0; i < bodies.size(); ++i) {
    const ReceivedBody& body = bodies[i];
    if (body.waited && *body.waited >= kMaximumWaitTime) {
      chosen.push_back(i);
      free_bytes += body.held_bytes;
    } else if (body.waited) {
      waiting.push_back(i);
    } else if (body.stalled >= kStallTime && body.held_bytes > 0) {
      stalled.push_back(i);
    }
  }
  if (waiting.empty()) {
    return chosen;
  }
  const ReceivedBody& first = bodies[*std::max_element(
      waiting.begin(), waiting.end(),
      [&](size_t a, size_t b) { return bodies[a].waited < bodies[b].waited; })];
  std::sort(stalled.begin(), stalled.end(), [&](size_t a, size_t b) {
    return std::pair(bodies[a].stalled, bodies[a].held_bytes) >
           std::pair(bodies[b].stalled, bodies[b].held_bytes);
  });
  for (size_t i = 0; i < stalled.size() && free_bytes < first.wanted_bytes;
       ++i) {
    chosen.push_back(stalled[i]);
    free_bytes += bodies[stalled[i]].held_bytes;
  }
  return chosen;
}

}  // namespace pistachiowalk
