#pragma once

#include <chrono>

#include "base/clock.h"

namespace pistachiowalk {

// What admission control knows of a request whose endpoint is chosen.
struct AdmissionInput {
  // Estimated time to the first event at the chosen endpoint, and the part of
  // it due to the work ahead of the request.
  double expected_ms = 0.0;
  double queued_ms = 0.0;
  // The SLO's limit for that time, counted from the caller's first attempt.
  double target_ms = 0.0;
  double time_left_ms = 0.0;
  // 0 is the most urgent.
  uint32_t priority = 0;
  // Of the customer, from -1, far above its fair share of the room, to 1, far
  // below; see ShareLean().
  double share_lean = 0.0;
  // Uniform in [0, 1); spreads the return of refused callers.
  double draw = 0.0;
};

struct AdmissionResult {
  bool is_admitted = true;
  // When capacity is expected to be free; meaningful only for a refusal.
  Duration retry_after{};

  friend auto operator<=>(const AdmissionResult&,
                          const AdmissionResult&) = default;
};

// Refuses a request that cannot start within its deadline, or that would join a
// queue which is too long for its priority. Only the work ahead of the request
// counts and not its own prompt, so that long prompts are not refused more
// often than short ones. A request that would miss its target because of the
// queue is refused earlier than one that meets it or whose prompt alone takes
// longer, since it may be answered in time when it returns.
//
// Among requests of one priority, those of customers below their fair share may
// join longer queues than those of customers above it. Priority comes first:
// the queues that one priority may join are shorter than those of a more urgent
// one, whatever the customers' shares.
//
// This is the overload control for engines that are sent more prompts than they
// can prefill, some of them many times as long as others.
AdmissionResult AdmitRequest(const AdmissionInput& input);

}  // namespace pistachiowalk
