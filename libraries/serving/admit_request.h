#pragma once

#include <chrono>

#include "base/clock.h"

namespace pistachiowalk {

// What admission needs to know of a request that has been placed.
struct AdmissionInput {
  // Expected time to the answer's beginning at the best endpoint.
  double expected_ms = 0.0;
  // What the SLO allows for it, from when the caller first asked.
  double target_ms = 0.0;
  double time_left_ms = 0.0;
  // 0 is the most urgent.
  uint32_t priority = 0;
};

struct AdmissionResult {
  bool is_admitted = true;
  // When room is expected; of use only if refused.
  Duration retry_after{};

  friend auto operator<=>(const AdmissionResult&,
                          const AdmissionResult&) = default;
};

// Refuses at once what would begin too late to be of use. As queues grow, the
// less urgent requests are refused first, so that what is admitted is answered
// in time.
//
// Answers more prompts than the engines can read.
AdmissionResult AdmitRequest(const AdmissionInput& input);

}  // namespace pistachiowalk
