#pragma once

#include "base/clock.h"
#include "routing/endpoint_record.h"
#include "routing/route_request.h"

namespace pistachiowalk {

// Speed of a model engine, for estimates.
struct EngineProfile {
  double prefill_tokens_per_second = 16000.0;
  // Duration of a decoding step with an empty batch, and its increase per
  // sequence.
  double step_seconds = 0.012;
  double step_seconds_per_sequence = 0.0006;

  friend auto operator<=>(const EngineProfile&, const EngineProfile&) = default;
};

// Estimated current load of an endpoint.
struct ExpectedLoad {
  double running = 0.0;
  double waiting = 0.0;
  double pending_prefill_tokens = 0.0;

  friend auto operator<=>(const ExpectedLoad&, const ExpectedLoad&) = default;
};

// Estimated latency and cost of sending a request to an endpoint.
struct RouteEstimate {
  double network_seconds = 0.0;
  // Running and waiting requests at the endpoint, without this one.
  double occupied_slots = 0.0;
  double first_token_seconds = 0.0;
  double token_gap_seconds = 0.0;
  double finish_seconds = 0.0;
  double uncached_tokens = 0.0;
  // Accelerator time that the request adds, times the hourly price.
  double cost = 0.0;

  friend auto operator<=>(const RouteEstimate&, const RouteEstimate&) = default;
};

// Extrapolates the endpoint's last report and adds this node's requests since.
ExpectedLoad EstimateLoad(const EndpointRecord& record,
                          const EngineProfile& profile,
                          TimePoint now);

// Returns the wait for a slot according to the endpoint's recent report alone,
// without this node's estimates, as the basis for refusing requests. Zero
// without a recent report.
Duration ReportedWait(const EndpointRecord& record,
                      uint32_t expected_output_tokens,
                      const EngineProfile& profile,
                      TimePoint now);

RouteEstimate EstimateRoute(const RouteRequest& request,
                            const EndpointRecord& record,
                            double cached_tokens,
                            const EngineProfile& profile,
                            TimePoint now);

}  // namespace pistachiowalk
