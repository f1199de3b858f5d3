#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace pistachiowalk {

// Work that was sent to one endpoint and is not finished.
struct OutstandingWork {
  // Requests whose response is not complete.
  uint32_t requests = 0;
  // Prompt tokens of requests without a first event, without those that the
  // endpoint probably has in its cache.
  double pending_prompt_tokens = 0.0;
  // Tokens in the KV cache: prompts and generated tokens.
  double context_tokens = 0.0;

  friend auto operator<=>(const OutstandingWork&,
                          const OutstandingWork&) = default;
};

OutstandingWork operator+(const OutstandingWork& a, const OutstandingWork& b);

// The load that an endpoint reports in the header of a response.
struct ReportedLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // How long work takes at the endpoint now; 100 is as usual there.
  std::optional<uint32_t> work_time_percent;
  // When this node received the report.
  TimePoint received_at{};

  friend auto operator<=>(const ReportedLoad&, const ReportedLoad&) = default;
};

// Speed of a service's model engines, as fitted by EstimateSpeed(). The
// defaults hold until first events were measured. They describe engines that
// prefill 42.6 prompt tokens per ms in chunks of 2,048, with a decoding step of
// at least 5.55 ms beside each chunk.
struct EngineSpeed {
  double prompt_tokens_per_ms = 36.0;
  // Time to the first event beside the prefill of the pending prompts.
  double step_ms = 8.0;

  friend auto operator<=>(const EngineSpeed&, const EngineSpeed&) = default;
};

// An endpoint's load as this node sees it.
struct EndpointLoad {
  OutstandingWork outstanding;
  ReportedLoad reported_load;
  bool has_reported_load = false;
  uint32_t slots = 1;
  // KV cache size; 0 for a service without a model engine.
  uint64_t cache_tokens = 0;
  // Measured over estimated time to the first event; 1 is as estimated.
  double slowdown = 1.0;
  // Further factor on times, found out for this endpoint; 1 is as usual for its
  // service.
  double pace = 1.0;
  // The part of `pace` that the endpoint reported for this moment.
  double momentary_pace = 1.0;
};

// Requests that run or wait at the endpoint: the outstanding ones, or more if
// the endpoint recently reported more.
double OccupiedSlots(const EndpointLoad& load, TimePoint now);

// The estimated time from sending a request to its first event.
struct FirstEventEstimate {
  double total_ms = 0.0;
  // The part of the total that is due to the work ahead of the request.
  double queued_ms = 0.0;
  // The total without what was found out of the endpoint's lasting pace.
  double usual_ms = 0.0;
  // A running request has to end before this one can start.
  bool waits_for_room = false;

  friend auto operator<=>(const FirstEventEstimate&,
                          const FirstEventEstimate&) = default;
};

// Estimates the time to the first event of a prompt at a model engine.
FirstEventEstimate EstimateFirstEvent(const EndpointLoad& load,
                                      double uncached_tokens,
                                      double context_tokens,
                                      const EngineSpeed& speed,
                                      TimePoint now);

}  // namespace pistachiowalk
