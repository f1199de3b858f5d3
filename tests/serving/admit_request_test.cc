#include "serving/admit_request.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "serving/engine_load.h"
#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr double kTargetMs = 1000.0;

// The part of an estimate that the request's own prompt takes.
constexpr double kOwnMs = 100.0;

AdmissionInput MakeInput(double expected_ms, uint32_t priority) {
  return AdmissionInput{.expected_ms = expected_ms,
                        .queued_ms = expected_ms - kOwnMs,
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
    const FirstEventEstimate estimate =
        EstimateFirstEvent(load, kPromptTokens, 4000.0, kSpeed, TimePoint{});
    AdmissionInput input = MakeInput(estimate.total_ms, priority);
    input.queued_ms = estimate.queued_ms;
    if (!AdmitRequest(input).is_admitted) {
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

Test(admit_request, callers_return_spread_over_time) {
  AdmissionInput input = MakeInput(1400.0, 0);
  const Duration first = AdmitRequest(input).retry_after;
  input.draw = 0.9;
  const Duration last = AdmitRequest(input).retry_after;
  cr_assert(last - first >= std::chrono::milliseconds(200));
}

Test(admit_request, a_long_prompt_is_admitted_where_nothing_waits) {
  AdmissionInput input = MakeInput(2800.0, 1);
  input.queued_ms = 50.0;
  cr_assert(AdmitRequest(input).is_admitted);
  // Its deadline still holds.
  input.time_left_ms = 2500.0;
  cr_assert(!AdmitRequest(input).is_admitted);
}

Test(admit_request, a_request_that_a_queue_makes_late_comes_back_later) {
  AdmissionInput input = MakeInput(1100.0, 0);
  input.queued_ms = 500.0;
  cr_assert(!AdmitRequest(input).is_admitted);
  input.expected_ms = 900.0;
  cr_assert(AdmitRequest(input).is_admitted);
}

// An engine at three fifths of its capacity gets short urgent prompts and less
// urgent ones whose lengths differ by a factor of a hundred. The longest tenth
// must be served about as often as the others.
Test(admit_request, long_prompts_are_served_as_often_as_short_ones) {
  constexpr EngineSpeed kSpeed;
  constexpr double kMeanTokens = 6600.0;
  constexpr double kSigma = 1.0;
  constexpr double kUrgentTokens = 1200.0;
  constexpr double kUrgentTargetMs = 600.0;
  constexpr double kLoad = 0.6;
  std::mt19937_64 random(17);
  std::lognormal_distribution<double> length(
      std::log(kMeanTokens) - kSigma * kSigma / 2.0, kSigma);
  std::exponential_distribution<double> pause(
      kLoad * kSpeed.prompt_tokens_per_ms /
      (kMeanTokens / 2.0 + kUrgentTokens / 2.0));
  struct Sent {
    double tokens = 0.0;
    bool is_admitted = false;
  };
  std::vector<Sent> sent;
  int urgent = 0;
  int urgent_in_time = 0;
  double free_at_ms = 0.0;
  double at_ms = 0.0;
  for (int i = 0; i < 20000; ++i) {
    at_ms += pause(random);
    const bool is_urgent = i % 2 == 0;
    const double tokens = is_urgent ? kUrgentTokens : length(random);
    EndpointLoad load{.slots = 64};
    load.outstanding.pending_prompt_tokens =
        std::max(0.0, free_at_ms - at_ms) * kSpeed.prompt_tokens_per_ms;
    const FirstEventEstimate estimate =
        EstimateFirstEvent(load, tokens, tokens, kSpeed, TimePoint{});
    const bool is_admitted =
        AdmitRequest(
            AdmissionInput{.expected_ms = estimate.total_ms,
                           .queued_ms = estimate.queued_ms,
                           .target_ms = is_urgent ? kUrgentTargetMs : kTargetMs,
                           .time_left_ms = is_urgent ? 3000.0 : 15000.0,
                           .priority = is_urgent ? 0U : 1U})
            .is_admitted;
    if (is_admitted) {
      free_at_ms =
          std::max(free_at_ms, at_ms) + tokens / kSpeed.prompt_tokens_per_ms;
    }
    if (is_urgent) {
      ++urgent;
      urgent_in_time += is_admitted && free_at_ms - at_ms <= kUrgentTargetMs;
    } else {
      sent.push_back(Sent{.tokens = tokens, .is_admitted = is_admitted});
    }
  }
  std::sort(sent.begin(), sent.end(),
            [](const Sent& a, const Sent& b) { return a.tokens < b.tokens; });
  const auto served = [&](size_t from) {
    const auto begin = sent.begin() + static_cast<std::ptrdiff_t>(from);
    return static_cast<double>(
               std::count_if(begin, sent.end(),
                             [](const Sent& s) { return s.is_admitted; })) /
           static_cast<double>(sent.end() - begin);
  };
  const double all = served(0);
  const double largest = served(sent.size() * 9 / 10);
  cr_assert(all >= 0.6, "%f", all);
  cr_assert(largest >= 0.75 * all, "%f of %f", largest, all);
  cr_assert(urgent_in_time >= urgent * 70 / 100, "%d of %d", urgent_in_time,
            urgent);
}
