#pragma once

#include <compare>
#include <optional>

namespace pistachiowalk {

// What became of one request that was sent to a worker.
struct RolloutResult {
  bool is_good = false;
  // Time to the response or the first event, in milliseconds; none if there was
  // neither.
  std::optional<double> milliseconds;

  friend auto operator<=>(const RolloutResult&, const RolloutResult&) = default;
};

}  // namespace pistachiowalk
