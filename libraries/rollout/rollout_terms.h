#pragma once

#include <chrono>

namespace pistachiowalk {

// Bounds that the operators set for roll-outs.
struct RolloutTerms {
  // Share of a service's requests that may reach a target which turns out to be
  // bad, and a constant on top.
  double exposure_share = 0.1;
  double exposure_slack = 0.0;
  // Time from the evidence against a target until no request is sent there.
  std::chrono::milliseconds roll_back{5000};

  friend auto operator<=>(const RolloutTerms&, const RolloutTerms&) = default;
};

}  // namespace pistachiowalk
