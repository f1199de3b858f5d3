#pragma once

#include <chrono>

#include "base/clock.h"

namespace pistachiowalk {

// What admission control knows of a request whose endpoint is chosen.
struct AdmissionInput {
  // Estimated time to the first event at the chosen endpoint.
  double expected_ms = 0.0;
  // The SLO's limit for that time, counted from the caller's first attempt.
  double target_ms = 0.0;
  double time_left_ms = 0.0;
  // 0 is the most urgent.
  uint32_t priority = 0;
};

struct AdmissionResult {
  bool is_admitted = true;
  // When capacity is expected to be free; meaningful only for a refusal.
  Duration retry_after{};

  friend auto operator<=>(const AdmissionResult&,
                          const AdmissionResult&) = default;
};

// Refuses a request whose response would start later than its target allows.
// As queues grow, less urgent requests are refused first, so that admitted ones
// are answered in time. This is the overload control for engines that are sent
// more prompts than they can prefill.
AdmissionResult AdmitRequest(const AdmissionInput& input);

}  // namespace pistachiowalk
