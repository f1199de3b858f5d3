#include "serving/engine_load.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// How long a reported load is used: about the time in which half of the
// endpoint's requests end.
constexpr Duration kReportedLoadLifetime = std::chrono::milliseconds(500);
// Share of the KV cache beyond which running sequences are pre-empted for new
// ones.
constexpr double kUsableCacheShare = 0.92;
// Delay of a request that does not fit into the KV cache or the batch: a
// running one has to end first.
constexpr double kQueueingDelayMs = 600.0;

}  // namespace

OutstandingWork operator+(const OutstandingWork& a, const OutstandingWork& b) {
  return OutstandingWork{.requests = a.requests + b.requests,
                         .pending_prompt_tokens =
                             a.pending_prompt_tokens + b.pending_prompt_tokens,
                         .context_tokens = a.context_tokens + b.context_tokens};
}

double OccupiedSlots(const EndpointLoad& load, TimePoint now) {
  const double outstanding = load.outstanding.requests;
  if (!load.has_reported_load ||
      now - load.reported_load.received_at > kReportedLoadLifetime) {
    return outstanding;
  }
  return std::max<double>(
      outstanding, load.reported_load.running + load.reported_load.waiting);
}

FirstEventEstimate EstimateFirstEvent(const EndpointLoad& load,
                                      double uncached_tokens,
                                      double context_tokens,
                                      const EngineSpeed& speed,
                                      TimePoint now) {
  FirstEventEstimate estimate;
  double queued =
      load.outstanding.pending_prompt_tokens / speed.prompt_tokens_per_ms;
  const double slots = std::max(1U, load.slots);
  const double excess = OccupiedSlots(load, now) + 1.0 - slots;
  if (excess > 0.0) {
    queued += kQueueingDelayMs * (1.0 + excess / slots);
    estimate.waits_for_room = true;
  }
  const double usable_cache_tokens =
      static_cast<double>(load.cache_tokens) * kUsableCacheShare;
  if (usable_cache_tokens > 0.0 &&
      load.outstanding.context_tokens + context_tokens > usable_cache_tokens) {
    queued += kQueueingDelayMs;
    estimate.waits_for_room = true;
  }
  const double own =
      uncached_tokens / speed.prompt_tokens_per_ms + speed.step_ms;
  const double factor = load.slowdown * load.pace;
  estimate.queued_ms = queued * factor;
  estimate.total_ms = (queued + own) * factor;
  estimate.usual_ms = (queued + own) * load.slowdown * load.momentary_pace;
  return estimate;
}

}  // namespace pistachiowalk
