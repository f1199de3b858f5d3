#include "serving/admit_request.h"

#include <algorithm>
#include <vector>

#include "serving/engine_load.h"
#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr double kTargetMs = 1000.0;

AdmissionInput MakeInput(double expected_ms, uint32_t priority) {
  return AdmissionInput{.expected_ms = expected_ms,
                        .target_ms = kTargetMs,
                        .time_left_ms = 6000.0,
                        .priority = priority};
}

}  // namespace

Test(admit_request, less_urgent_requests_are_refused_first) {
  cr_assert(AdmitRequest(MakeInput(800.0, 0)).is_admitted);
  cr_assert(!AdmitRequest(MakeInput(800.0, 1)).is_admitted);
  cr_assert(AdmitRequest(MakeInput(500.0, 1)).is_admitted);
  cr_assert(!AdmitRequest(MakeInput(500.0, 2)).is_admitted);
  cr_assert(AdmitRequest(MakeInput(250.0, 9)).is_admitted);
}

Test(admit_request, a_late_request_is_refused_with_a_retry_after) {
  const AdmissionResult result = AdmitRequest(MakeInput(1400.0, 0));
  cr_assert(!result.is_admitted);
  cr_assert(result.retry_after >= std::chrono::milliseconds(100));
  cr_assert(result.retry_after <= std::chrono::milliseconds(1500));
}

Test(admit_request, the_callers_deadline_limits_the_wait) {
  AdmissionInput input = MakeInput(300.0, 0);
  input.time_left_ms = 200.0;
  cr_assert(!AdmitRequest(input).is_admitted);
}

// An engine that prefills one prompt at a time gets twice the load it can
// handle. Admitted requests must start within the target, and urgent requests
// must be admitted more often than others.
Test(admit_request, an_overloaded_engine_answers_admitted_requests_in_time) {
  constexpr EngineSpeed kSpeed;
  constexpr double kPromptTokens = 3600.0;
  double free_at_ms = 0.0;
  int admitted[2] = {0, 0};
  int asked[2] = {0, 0};
  // A prompt takes 100 ms, and one comes every 50 ms.
  for (double at_ms = 0.0; at_ms < 60000.0; at_ms += 50.0) {
    const uint32_t priority = static_cast<uint32_t>(at_ms / 50.0) % 2;
    ++asked[priority];
    EndpointLoad load{.slots = 64};
    load.outstanding.pending_prompt_tokens =
        std::max(0.0, free_at_ms - at_ms) * kSpeed.prompt_tokens_per_ms;
    const double expected =
        EstimateFirstEvent(load, kPromptTokens, 4000.0, kSpeed, TimePoint{})
            .total_ms;
    if (!AdmitRequest(MakeInput(expected, priority)).is_admitted) {
      continue;
    }
    ++admitted[priority];
    free_at_ms = std::max(free_at_ms, at_ms) +
                 kPromptTokens / kSpeed.prompt_tokens_per_ms;
    cr_assert(free_at_ms - at_ms <= kTargetMs);
  }
  cr_assert(admitted[0] >= asked[0] * 95 / 100);
  cr_assert(admitted[0] > admitted[1]);
}
