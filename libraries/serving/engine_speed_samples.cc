#include "serving/engine_speed_samples.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Factor on the weight of earlier samples with each new one: some 200 of them
// count.
constexpr double kDecayPerSample = 0.995;
// Weight of a first event that came later than estimated, and the multiple of
// the estimate that it counts as at most.
constexpr double kLateWeight = 0.25;
constexpr double kMaximumLateRatio = 3.0;
// The default speed counts as this many samples at either prompt size.
constexpr double kDefaultWeight = 1.5;
constexpr double kDefaultSizes[] = {1000.0, 8000.0};
// Bounds of the estimates.
constexpr double kMinimumTokensPerMs = 2.0;
constexpr double kMaximumTokensPerMs = 2000.0;
constexpr double kMinimumStepMs = 1.0;
constexpr double kMaximumStepMs = 200.0;

FirstEventSamples Add(const FirstEventSamples& samples,
                      double weight,
                      double tokens,
                      double milliseconds) {
  return FirstEventSamples{
      .weight = samples.weight + weight,
      .tokens = samples.tokens + weight * tokens,
      .milliseconds = samples.milliseconds + weight * milliseconds,
      .tokens_squared = samples.tokens_squared + weight * tokens * tokens,
      .tokens_times_milliseconds =
          samples.tokens_times_milliseconds + weight * tokens * milliseconds};
}

FirstEventSamples Decay(const FirstEventSamples& samples) {
  return FirstEventSamples{
      .weight = samples.weight * kDecayPerSample,
      .tokens = samples.tokens * kDecayPerSample,
      .milliseconds = samples.milliseconds * kDecayPerSample,
      .tokens_squared = samples.tokens_squared * kDecayPerSample,
      .tokens_times_milliseconds =
          samples.tokens_times_milliseconds * kDecayPerSample};
}

double ExpectedMs(const EngineSpeed& speed, double tokens) {
  return speed.step_ms + tokens / speed.prompt_tokens_per_ms;
}

}  // namespace

FirstEventSamples AddSample(const FirstEventSamples& samples,
                            double uncached_tokens,
                            double measured_ms) {
  const double expected = ExpectedMs(EstimateSpeed(samples), uncached_tokens);
  const double weight = measured_ms > expected ? kLateWeight : 1.0;
  return Add(Decay(samples), weight, uncached_tokens,
             std::min(measured_ms, kMaximumLateRatio * expected));
}

EngineSpeed EstimateSpeed(const FirstEventSamples& samples) {
  constexpr EngineSpeed kDefault;
  FirstEventSamples all = samples;
  for (double size : kDefaultSizes) {
    all = Add(all, kDefaultWeight, size, ExpectedMs(kDefault, size));
  }
  const double mean_tokens = all.tokens / all.weight;
  const double mean_ms = all.milliseconds / all.weight;
  // NOTE: The default's two sizes keep the variance above zero.
  const double variance =
      all.tokens_squared / all.weight - mean_tokens * mean_tokens;
  const double covariance =
      all.tokens_times_milliseconds / all.weight - mean_tokens * mean_ms;
  const double ms_per_token =
      std::clamp(covariance / variance, 1.0 / kMaximumTokensPerMs,
                 1.0 / kMinimumTokensPerMs);
  return EngineSpeed{.prompt_tokens_per_ms = 1.0 / ms_per_token,
                     .step_ms = std::clamp(mean_ms - mean_tokens * ms_per_token,
                                           kMinimumStepMs, kMaximumStepMs)};
}

}  // namespace pistachiowalk
