#include "routing/route_estimate.h"

#include <algorithm>
#include <chrono>

namespace pistachiowalk {
namespace {

// Reports older than this are ignored.
constexpr double kReportLifetimeSeconds = 5.0;
constexpr double kSlowStartSeconds = 10.0;
constexpr double kSlowStartFloor = 0.1;
constexpr double kSameRegionSeconds = 0.001;
constexpr double kCrossRegionSeconds = 0.024;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double NetworkSeconds(Proximity proximity) {
  switch (proximity) {
    case Proximity::kSamePlace:
      return 0.0;
    case Proximity::kSameRegion:
      return kSameRegionSeconds;
    case Proximity::kCrossRegion:
      return kCrossRegionSeconds;
  }
  return 0.0;
}

// Slots used of a new endpoint, which rise to all of them (slow start).
double UsableSlots(const EndpointRecord& record, TimePoint now) {
  // An engine that reports more running sequences than the bundle's slots can
  // evidently batch them.
  const double slots =
      std::max({1U, record.attributes.slots, record.report.running});
  if (!record.needs_slow_start) {
    return slots;
  }
  const double share = Seconds(now - record.live_since) / kSlowStartSeconds;
  return std::max(1.0, slots * std::clamp(share, kSlowStartFloor, 1.0));
}

}  // namespace

uint64_t PromptTokens(const RouteRequest& request) {
  uint64_t tokens = 0;
  for (const PrefixBlock& block : request.prompt) {
    tokens += block.tokens;
  }
  return tokens;
}

ExpectedLoad EstimateLoad(const EndpointRecord& record,
                          const EngineProfile& profile,
                          TimePoint now) {
  ExpectedLoad load;
  const double age = Seconds(now - record.report.sampled_at);
  const bool has_recent_report =
      record.has_report && age < kReportLifetimeSeconds;
  if (has_recent_report) {
    load.running = record.report.running;
    load.waiting = record.report.waiting;
    load.pending_prefill_tokens =
        static_cast<double>(record.report.pending_prefill_tokens);
  }
  for (const RecentSend& send : record.recent_sends) {
    load.pending_prefill_tokens += send.prefill_tokens;
  }
  const double drained = std::max(0.0, has_recent_report ? age : 0.0) *
                         profile.prefill_tokens_per_second;
  load.pending_prefill_tokens =
      std::max(0.0, load.pending_prefill_tokens - drained);
  if (has_recent_report) {
    load.running += static_cast<double>(record.recent_sends.size());
  }
  load.running = std::max(load.running, static_cast<double>(record.in_flight));
  return load;
}

Duration ReportedWait(const EndpointRecord& record,
                      uint32_t expected_output_tokens,
                      const EngineProfile& profile,
                      TimePoint now) {
  const double age = Seconds(now - record.report.sampled_at);
  if (!record.has_report || age >= kReportLifetimeSeconds) {
    return Duration::zero();
  }
  const double slots = UsableSlots(record, now);
  const double step =
      profile.step_seconds + profile.step_seconds_per_sequence * slots;
  const double slot_wait =
      record.report.waiting * expected_output_tokens * step / slots;
  const double prefill =
      static_cast<double>(record.report.pending_prefill_tokens) /
      profile.prefill_tokens_per_second;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(slot_wait + prefill));
}

RouteEstimate EstimateRoute(const RouteRequest& request,
                            const EndpointRecord& record,
                            double cached_tokens,
                            const EngineProfile& profile,
                            TimePoint now) {
  const ExpectedLoad load = EstimateLoad(record, profile, now);
  const double slots = UsableSlots(record, now);
  const double batch = std::min(load.running + 1.0, slots);
  const double excess =
      std::max(0.0, load.running + load.waiting + 1.0 - slots);
  const double step =
      profile.step_seconds + profile.step_seconds_per_sequence * batch;
  const double output = std::max(1.0, double(request.expected_output_tokens));
  RouteEstimate estimate;
  estimate.network_seconds = NetworkSeconds(record.attributes.proximity);
  estimate.occupied_slots = load.running + load.waiting;
  estimate.uncached_tokens =
      std::max(0.0, static_cast<double>(PromptTokens(request)) - cached_tokens);
  const double own_prefill =
      estimate.uncached_tokens / profile.prefill_tokens_per_second;
  const double backlog =
      load.pending_prefill_tokens / profile.prefill_tokens_per_second;
  // A slot of a full batch becomes free each time a sequence ends.
  const double slot_wait = excess * output * step / slots;
  // Prefill runs between decoding steps and slows them.
  const double prefill_share = std::min(0.9, backlog + own_prefill);
  estimate.token_gap_seconds = step / (1.0 - 0.6 * prefill_share);
  estimate.first_token_seconds =
      estimate.network_seconds + slot_wait + backlog + own_prefill + step;
  estimate.finish_seconds = estimate.first_token_seconds + output * step;
  // The sequences of a batch share its steps; a single sequence bears their
  // whole cost.
  const double decode = output * (profile.step_seconds / batch +
                                  profile.step_seconds_per_sequence);
  estimate.cost = record.attributes.price_per_hour * (own_prefill + decode);
  return estimate;
}

}  // namespace pistachiowalk
