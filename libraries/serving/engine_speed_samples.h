#pragma once

#include "serving/engine_load.h"

namespace pistachiowalk {

// Decayed sums over measured first events, as input of a linear fit of their
// time against the prompt tokens that were pending.
struct FirstEventSamples {
  double weight = 0.0;
  double tokens = 0.0;
  double milliseconds = 0.0;
  double tokens_squared = 0.0;
  double tokens_times_milliseconds = 0.0;

  friend auto operator<=>(const FirstEventSamples&,
                          const FirstEventSamples&) = default;
};

// Returns the samples with one more first event. Late ones have less weight, as
// they were delayed by work that the estimate did not contain.
FirstEventSamples AddSample(const FirstEventSamples& samples,
                            double pending_prompt_tokens,
                            double measured_ms);

// Fits the speed of a service's engines to the samples. With few of them it is
// close to the default.
EngineSpeed EstimateSpeed(const FirstEventSamples& samples);

}  // namespace pistachiowalk
