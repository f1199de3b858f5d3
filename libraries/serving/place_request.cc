#include "serving/place_request.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace pistachiowalk {
namespace {

// Cost of distance, as milliseconds of waiting: the round trip, and the price
// of bytes that cross regions.
constexpr double kSameRegionCostMs = 5.0;
constexpr double kCrossRegionCostMs = 60.0;
constexpr double kCrossRegionCostMsPerKilobyte = 4.0;
// Cost of an endpoint whose responses all fail; scaled by the squared failure
// score.
constexpr double kFailureScoreCostMs = 2000.0;
// Costs of an endpoint that the request already tried, and of an ejected one:
// above any wait with which a request is admitted.
constexpr double kAvoidedCostMs = 8000.0;
constexpr double kEjectedCostMs = 20000.0;
// Share of the common prefix that its home endpoint is expected to have cached.
constexpr double kHomeConfidence = 0.7;
// Cost of one more request at an endpoint without a model engine: of the order
// of such a request's duration.
constexpr double kPlainRequestCostMs = 15.0;
// Beside the transfer itself, a fetch takes this long until it begins.
constexpr double kFetchSetupMs = 5.0;
// Transfers between data centres take this many times as long.
constexpr double kRemoteFetchFactor = 2.0;
// A prefix is expected in a cache from this long after it was sent there, and
// for this long: then it has been read, and it has not been evicted yet.
constexpr Duration kPrefillTime = std::chrono::milliseconds(250);
constexpr Duration kFetchableTime = std::chrono::seconds(10);
// Fewer tokens are not worth a fetch.
constexpr double kMinimumFetchTokens = 512.0;
// Maximum random cost, so that nodes with the same view choose differently.
constexpr double kMaximumJitterMs = 3.0;

// The SplitMix64 finaliser.
uint64_t Mix(uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

double DistanceCostMs(const PlacementRequest& request, Proximity proximity) {
  switch (proximity) {
    case Proximity::kSamePlace:
      return 0.0;
    case Proximity::kSameRegion:
      return kSameRegionCostMs;
    case Proximity::kCrossRegion:
      return kCrossRegionCostMs +
             kCrossRegionCostMsPerKilobyte * request.request_bytes / 1024.0;
  }
  return 0.0;
}

// Estimates the time to the response of an endpoint without a model engine.
FirstEventEstimate EstimatePlainResponse(const EndpointLoad& load,
                                         TimePoint now) {
  const double slots = std::max(1U, load.slots);
  const double factor = load.slowdown * load.pace;
  const double total =
      (OccupiedSlots(load, now) + 1.0) / slots * kPlainRequestCostMs * factor;
  return FirstEventEstimate{
      .total_ms = total,
      .queued_ms = std::max(0.0, total - kPlainRequestCostMs * factor)};
}

// Returns the home of the shared prefix: the endpoint that all nodes of a data
// centre choose for it by rendezvous hashing over the nearest endpoints.
const PlacementCandidate* FindHome(
    const PlacementRequest& request,
    const std::vector<PlacementCandidate>& candidates) {
  if (request.affinity == 0) {
    return nullptr;
  }
  const PlacementCandidate* home = nullptr;
  uint64_t best = 0;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.is_ejected || candidate.has_reached_limit ||
        candidate.pause > Duration::zero()) {
      continue;
    }
    if (home != nullptr && candidate.proximity > home->proximity) {
      continue;
    }
    const uint64_t weight = Mix(candidate.key ^ request.affinity);
    if (home == nullptr || candidate.proximity < home->proximity ||
        weight > best) {
      home = &candidate;
      best = weight;
    }
  }
  return home;
}

// By version, the endpoint from which others can fetch most of the prompt, of
// several the one that used it last.
using PrefixSources = std::map<SoftwareVersion, const PlacementCandidate*>;

PrefixSources FindSources(const PlacementRequest& request,
                          const std::vector<PlacementCandidate>& candidates,
                          TimePoint now) {
  PrefixSources sources;
  if (!request.transfer.is_possible()) {
    return sources;
  }
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.is_ejected || candidate.is_avoided ||
        candidate.cached_tokens < kMinimumFetchTokens ||
        now - candidate.cached_since < kPrefillTime ||
        now - candidate.cached_at > kFetchableTime) {
      continue;
    }
    const PlacementCandidate*& source = sources[candidate.version];
    if (source == nullptr || candidate.cached_tokens > source->cached_tokens ||
        (candidate.cached_tokens == source->cached_tokens &&
         candidate.cached_at > source->cached_at)) {
      source = &candidate;
    }
  }
  return sources;
}

// A part of a prompt that an endpoint can fetch instead of prefilling it.
struct PrefixFetch {
  double tokens = 0.0;
  double ms = 0.0;
};

// Returns the fetch from `source` to `candidate`, of no tokens if it is not
// worth while. What the candidate may have evicted is fetched too; the engine
// leaves out what it still has.
PrefixFetch PlanFetch(const PlacementRequest& request,
                      const PlacementCandidate& candidate,
                      const PlacementCandidate* source,
                      double cached_tokens,
                      const EngineSpeed& speed,
                      TimePoint now) {
  if (source == nullptr || source == &candidate) {
    return PrefixFetch{};
  }
  // NOTE: Of two remote endpoints it is not known whether they are in one data
  // centre.
  const bool is_local = candidate.proximity == Proximity::kSamePlace &&
                        source->proximity == Proximity::kSamePlace;
  const double kept_tokens =
      now - candidate.cached_at > kFetchableTime ? 0.0 : cached_tokens;
  const double tokens =
      std::min(source->cached_tokens, request.prompt_tokens) - kept_tokens;
  const double ms = kFetchSetupMs + tokens * request.transfer.ms_per_token *
                                        (is_local ? 1.0 : kRemoteFetchFactor);
  if (tokens < kMinimumFetchTokens ||
      ms >= tokens / speed.prompt_tokens_per_ms) {
    return PrefixFetch{};
  }
  return PrefixFetch{.tokens = tokens, .ms = ms};
}

}  // namespace

PrefixTransfer MakePrefixTransfer(uint64_t bytes_per_token,
                                  double link_megabits) {
  if (bytes_per_token == 0 || link_megabits <= 0.0) {
    return PrefixTransfer{};
  }
  constexpr double kBitsPerByte = 8.0;
  constexpr double kBitsPerMegabitMs = 1000.0;
  return PrefixTransfer{.ms_per_token = static_cast<double>(bytes_per_token) *
                                        kBitsPerByte /
                                        (link_megabits * kBitsPerMegabitMs)};
}

std::optional<Placement> PlaceRequest(
    const PlacementRequest& request,
    const std::vector<PlacementCandidate>& candidates,
    const EngineSpeed& speed,
    double draw,
    TimePoint now) {
  const PlacementCandidate* home = FindHome(request, candidates);
  const PrefixSources sources = FindSources(request, candidates, now);
  std::optional<Placement> best;
  double best_cost = 0.0;
  uint64_t salt = static_cast<uint64_t>(draw * 0x1p53);
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.has_no_free_connection || candidate.has_reached_limit ||
        candidate.pause > Duration::zero()) {
      continue;
    }
    double cached = candidate.cached_tokens;
    if (&candidate == home) {
      cached = std::max(cached, kHomeConfidence * (request.prompt_tokens -
                                                   request.unshared_tokens));
    }
    const auto found = sources.find(candidate.version);
    const PlacementCandidate* source =
        found == sources.end() ? nullptr : found->second;
    const PrefixFetch fetch =
        PlanFetch(request, candidate, source, cached, speed, now);
    const double uncached = std::max(
        0.0,
        request.prompt_tokens -
            std::max(cached, fetch.tokens > 0.0 ? source->cached_tokens : 0.0));
    FirstEventEstimate first_event =
        request.prompt_tokens > 0.0
            ? EstimateFirstEvent(candidate.load, uncached,
                                 request.prompt_tokens + request.output_tokens,
                                 speed, now)
            : EstimatePlainResponse(candidate.load, now);
    first_event.total_ms += fetch.ms;
    salt = Mix(salt + 0x9e3779b97f4a7c15ULL);
    const double jitter =
        static_cast<double>(salt >> 11) * 0x1p-53 * kMaximumJitterMs;
    const double cost = first_event.total_ms + jitter +
                        DistanceCostMs(request, candidate.proximity) +
                        kFailureScoreCostMs * candidate.failure_score *
                            candidate.failure_score +
                        (candidate.is_avoided ? kAvoidedCostMs : 0.0) +
                        (candidate.is_ejected ? kEjectedCostMs : 0.0);
    if (!best || cost < best_cost) {
      best =
          Placement{.id = candidate.id,
                    .first_event = first_event,
                    .uncached_tokens = uncached,
                    .fetch_from = fetch.tokens > 0.0 ? std::optional(source->id)
                                                     : std::nullopt,
                    .fetched_tokens = fetch.tokens};
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace pistachiowalk
