#pragma once

#include <cstdint>

#include "base/clock.h"

namespace pistachiowalk {

// Work that nodes have sent to one endpoint and that is not over.
struct OutstandingWork {
  // Requests without their whole answer.
  uint32_t requests = 0;
  // Prompt tokens of requests without a first event, as far as they are
  // probably not cached there.
  double pending_prompt_tokens = 0.0;
  // Tokens in memory: prompts and what they generate.
  double context_tokens = 0.0;

  friend auto operator<=>(const OutstandingWork&,
                          const OutstandingWork&) = default;
};

OutstandingWork operator+(const OutstandingWork& a, const OutstandingWork& b);

// An endpoint's own word on its load, from the header of an answer.
struct ReportedLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  // When this node received it.
  TimePoint received_at{};

  friend auto operator<=>(const ReportedLoad&, const ReportedLoad&) = default;
};

// How fast a model engine works. The defaults are those of the operators'
// engines: 42.6 prompt tokens a ms in chunks of 2,048, with a decoding step of
// 5.55 ms and more beside each chunk.
struct EngineSpeed {
  double prompt_tokens_per_ms = 36.0;
  double step_ms = 8.0;

  friend auto operator<=>(const EngineSpeed&, const EngineSpeed&) = default;
};

// What is known of an endpoint's load at one moment.
struct EndpointLoad {
  OutstandingWork outstanding;
  ReportedLoad reported_load;
  bool has_reported_load = false;
  uint32_t slots = 1;
  // 0 for a plain service.
  uint64_t cache_tokens = 0;
  // Measured over expected time to the first event; 1 is as expected.
  double slowdown = 1.0;
};

// Requests that run or wait there: what the nodes have sent, or more if the
// endpoint lately said so.
double OccupiedSlots(const EndpointLoad& load, TimePoint now);

// Expected milliseconds from sending a prompt to its first event.
double ExpectedFirstEventMs(const EndpointLoad& load,
                            double uncached_tokens,
                            double context_tokens,
                            const EngineSpeed& speed,
                            TimePoint now);

}  // namespace pistachiowalk
