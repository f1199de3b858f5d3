#include "serving/engine_load.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// What an endpoint said of its load is of use for this long: about the time in
// which half of its requests end.
constexpr Duration kToldLoadLife = std::chrono::milliseconds(500);
// Share of the memory beyond which runs are pre-empted for new ones.
constexpr double kUsableMemory = 0.92;
// Delay of a request that does not fit into the memory or the batch: one of
// those that run has to end first.
constexpr double kFullPenaltyMs = 600.0;

}  // namespace

SentWork operator+(const SentWork& a, const SentWork& b) {
  return SentWork{.requests = a.requests + b.requests,
                  .pending_prompt_tokens =
                      a.pending_prompt_tokens + b.pending_prompt_tokens,
                  .context_tokens = a.context_tokens + b.context_tokens};
}

double OccupiedSlots(const EndpointLoad& load, TimePoint now) {
  const double sent = load.sent.requests;
  if (!load.has_told || now - load.told.heard_at > kToldLoadLife) {
    return sent;
  }
  return std::max<double>(sent, load.told.running + load.told.waiting);
}

double ExpectedFirstEventMs(const EndpointLoad& load,
                            double uncached_tokens,
                            double context_tokens,
                            const EngineSpeed& speed,
                            TimePoint now) {
  const double prompts = load.sent.pending_prompt_tokens + uncached_tokens;
  double expected = prompts / speed.prompt_tokens_per_ms + speed.step_ms;
  const double slots = std::max(1U, load.slots);
  const double excess = OccupiedSlots(load, now) + 1.0 - slots;
  if (excess > 0.0) {
    expected += kFullPenaltyMs * (1.0 + excess / slots);
  }
  const double memory = static_cast<double>(load.cache_tokens) * kUsableMemory;
  if (memory > 0.0 && load.sent.context_tokens + context_tokens > memory) {
    expected += kFullPenaltyMs;
  }
  return expected * load.slowness;
}

}  // namespace pistachiowalk
