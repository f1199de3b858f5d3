#include "serving/engine_speed_samples.h"

#include <cmath>
#include <random>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

// Samples of engines with a base time of 40 ms and 75 tokens per ms. A share of
// the first events comes late by a random wait.
FirstEventSamples Measure(size_t count, double late_share, double late_ms) {
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  std::lognormal_distribution<double> length(std::log(3000.0), 0.8);
  FirstEventSamples samples;
  for (size_t i = 0; i < count; ++i) {
    const double tokens = length(random);
    const double wait =
        unit(random) < late_share ? late_ms * unit(random) : 0.0;
    samples = AddSample(samples, tokens, 40.0 + tokens / 75.0 + wait);
  }
  return samples;
}

}  // namespace

Test(engine_speed_samples, the_default_holds_without_samples) {
  const EngineSpeed speed = EstimateSpeed(FirstEventSamples{});
  const EngineSpeed expected;
  cr_assert(std::abs(speed.prompt_tokens_per_ms -
                     expected.prompt_tokens_per_ms) < 0.01);
  cr_assert(std::abs(speed.step_ms - expected.step_ms) < 0.01);
}

Test(engine_speed_samples, engines_faster_than_the_default_are_learned) {
  const EngineSpeed speed = EstimateSpeed(Measure(300, 0.0, 0.0));
  cr_assert(speed.prompt_tokens_per_ms > 60.0, "%f",
            speed.prompt_tokens_per_ms);
  cr_assert(speed.prompt_tokens_per_ms < 90.0);
  cr_assert(std::abs(speed.step_ms - 40.0) < 10.0, "%f", speed.step_ms);
}

// A wait behind work that the estimate did not contain says nothing about the
// speed.
Test(engine_speed_samples, late_first_events_hardly_change_the_speed) {
  const EngineSpeed speed = EstimateSpeed(Measure(600, 0.3, 1500.0));
  const double expected = speed.step_ms + 10000.0 / speed.prompt_tokens_per_ms;
  constexpr double kUndelayed = 40.0 + 10000.0 / 75.0;
  cr_assert(expected < 1.6 * kUndelayed, "%f", expected);
  cr_assert(expected > 0.8 * kUndelayed);
}

Test(engine_speed_samples, prompts_of_one_size_keep_the_estimate_in_bounds) {
  FirstEventSamples samples;
  for (int i = 0; i < 2000; ++i) {
    samples = AddSample(samples, 500.0, i % 2 == 0 ? 0.0 : 1e9);
    const EngineSpeed speed = EstimateSpeed(samples);
    cr_assert(speed.prompt_tokens_per_ms >= 2.0);
    cr_assert(speed.prompt_tokens_per_ms <= 2000.0);
    cr_assert(speed.step_ms >= 1.0 && speed.step_ms <= 200.0);
  }
}
