#pragma once

#include "serving/engine_load.h"

namespace pistachiowalk {

// Decayed sums over measured first events, as input of a linear fit of their
// time against the request's own uncached prompt tokens.
//
// NOTE: The work ahead of a request is known only from reports that are old and
// noisy. As part of the fitted tokens it would make the slope too small.
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
                            double uncached_tokens,
                            double measured_ms);

// Fits the speed of a service's engines to the samples. With few of them it is
// close to the default.
//
// This covers services whose engines differ in speed from one deployment to
// another, which no config states.
EngineSpeed EstimateSpeed(const FirstEventSamples& samples);

}  // namespace pistachiowalk
