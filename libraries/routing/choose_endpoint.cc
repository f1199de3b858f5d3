#include "routing/choose_endpoint.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace pistachiowalk {
namespace {

// For services of at most this many endpoints, all are candidates.
constexpr size_t kSmallServiceEndpoints = 24;
constexpr size_t kNearSampleSize = 10;
constexpr size_t kFarSampleSize = 3;
constexpr size_t kMaximumHolders = 8;
// Maximum jitter of a score.
constexpr double kModelJitter = 1.0;
constexpr double kPlainJitter = 0.02;
// Lateness counts from these shares of the latency targets on, since the
// estimates may be too low.
constexpr double kSafeFirstTokenShare = 0.25;
constexpr double kSafeTokenGapShare = 0.8;
constexpr double kLatenessWeight = 10000.0;
// Hourly price of recomputed prefill. Far above any VM's price, since a prompt
// that is cached twice also evicts other prompts.
constexpr double kRecomputePrice = 200.0;
// Share of the recomputation cost that is waived at a prompt's home, so that
// nodes without cache state for the prompt choose the same endpoint.
constexpr double kHomeDiscount = 0.9;
constexpr double kPreferredHomeWeight = 6.0;
constexpr uint64_t kLongPromptTokens = 4000;
// Weight of the tokens that caching a prompt evicts from a full cache.
constexpr double kEvictionWeight = 0.2;
constexpr double kBytesPerToken = 4.0;
// Each generated token is a separate event of the stream.
constexpr double kBytesPerEvent = 200.0;
// Price of a byte that crosses regions, in the unit of `RouteEstimate::cost`
// (hourly price times seconds).
constexpr double kCrossRegionByteCost = 0.05 / 1e9 * 3600.0;

// Cost of a second of network delay, so that the nearest of equal endpoints is
// chosen.
constexpr double kDistanceWeight = 5.0;
// Cost of a full endpoint for services without a model engine, where a call's
// work is unknown.
constexpr double kBalanceWeight = 1.0;
// Keeps the score positive for endpoints without any cost.
constexpr double kBaseScore = 0.01;

double Lateness(double expected,
                std::chrono::milliseconds target,
                double safe_share) {
  const double limit = std::chrono::duration<double>(target).count();
  const double excess = expected / limit - safe_share;
  return excess <= 0.0 ? 0.0 : excess * excess;
}

double ByteCost(const RouteRequest& request, const EndpointRecord& record) {
  if (record.attributes.proximity != Proximity::kCrossRegion) {
    return 0.0;
  }
  const double bytes =
      static_cast<double>(PromptTokens(request)) * kBytesPerToken +
      request.expected_output_tokens * kBytesPerEvent;
  return bytes * kCrossRegionByteCost;
}

using Records = std::vector<const EndpointRecord*>;

// Returns the endpoint that follows `hash` on the ring of endpoint keys.
const EndpointRecord* RingSuccessor(const Records& records, uint64_t hash) {
  const auto it =
      std::lower_bound(records.begin(), records.end(), hash,
                       [](const EndpointRecord* record, uint64_t value) {
                         return record->key < value;
                       });
  return it == records.end() ? records.front() : *it;
}

void AddSample(const Records& records,
               size_t count,
               std::mt19937_64& generator,
               Records& candidates) {
  if (records.size() <= count) {
    candidates.insert(candidates.end(), records.begin(), records.end());
    return;
  }
  for (size_t i = 0; i < count; ++i) {
    candidates.push_back(records[generator() % records.size()]);
  }
}

Records Candidates(const RouteRequest& request,
                   const RouteContext& context,
                   const std::vector<ExpectedPrefix>& prefixes,
                   std::mt19937_64& generator) {
  const ServiceEndpoints& live = context.endpoints.Live(request.service);
  Records candidates;
  if (live.Size() <= kSmallServiceEndpoints) {
    for (const Records& list : live.by_proximity) {
      candidates.insert(candidates.end(), list.begin(), list.end());
    }
    return candidates;
  }
  const Records& near = live.At(Proximity::kSamePlace);
  AddSample(near, kNearSampleSize, generator, candidates);
  AddSample(live.At(Proximity::kSameRegion), kFarSampleSize, generator,
            candidates);
  AddSample(live.At(Proximity::kCrossRegion), kFarSampleSize, generator,
            candidates);
  if (!near.empty() && !request.prompt.empty()) {
    const uint64_t hash = request.prompt.back().hash;
    candidates.push_back(RingSuccessor(near, hash));
    candidates.push_back(RingSuccessor(near, ~hash));
  }
  // NOTE: The longest prefixes are found last.
  const size_t first =
      prefixes.size() - std::min(prefixes.size(), kMaximumHolders);
  for (size_t i = first; i < prefixes.size(); ++i) {
    const EndpointRecord* holder =
        context.endpoints.FindByKey(prefixes[i].endpoint_key);
    if (holder != nullptr && holder->endpoint.service == request.service) {
      candidates.push_back(holder);
    }
  }
  return candidates;
}

// Returns the hash that identifies the prompt's conversation or document: the
// block after the instructions that many prompts share.
uint64_t AffinityHash(const RouteRequest& request) {
  const size_t last = std::min<size_t>(2, request.prompt.size()) - 1;
  return request.prompt[last].hash;
}

// Mixes an endpoint's key and a prompt's hash (the finaliser of SplitMix64).
uint64_t RendezvousHash(uint64_t key, uint64_t hash) {
  uint64_t x = key ^ hash;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Weight of an endpoint as a home. Long prompts prefer endpoints that are not
// reclaimable, where their cache survives reclaims; short ones prefer
// reclaimable endpoints, to leave the others to long prompts.
double HomeWeight(const EndpointRecord& record, bool is_long) {
  return record.attributes.is_reclaimable != is_long ? kPreferredHomeWeight
                                                     : 1.0;
}

// Returns the prompt's home by weighted rendezvous hashing, which nodes without
// cache state for the prompt agree on; nullptr for no prompt.
const EndpointRecord* FindHome(const RouteRequest& request,
                               const Records& candidates) {
  if (request.prompt.empty()) {
    return nullptr;
  }
  const uint64_t hash = AffinityHash(request);
  const bool is_long = PromptTokens(request) >= kLongPromptTokens;
  const EndpointRecord* home = nullptr;
  double best = 0.0;
  for (const EndpointRecord* record : candidates) {
    const uint64_t mixed = RendezvousHash(record->key, hash);
    const double unit = (static_cast<double>(mixed >> 11) + 1.0) * 0x1.0p-53;
    const double weight = -HomeWeight(*record, is_long) / std::log(unit);
    if (home == nullptr || weight > best) {
      home = record;
      best = weight;
    }
  }
  return home;
}

CacheEstimate EstimateCache(const RouteContext& context,
                            const PrefixLookup& lookup,
                            const EndpointRecord& record) {
  CacheEstimate cache;
  cache.shared_tokens = static_cast<double>(lookup.shared_tokens);
  cache.eviction_pressure =
      context.prefixes.EvictionPressure(record.key, context.now);
  for (const ExpectedPrefix& prefix : lookup.holders) {
    if (prefix.endpoint_key == record.key) {
      cache.cached_tokens = prefix.tokens;
    }
  }
  return cache;
}

}  // namespace

double ScoreRoute(const RouteRequest& request,
                  const EndpointRecord& record,
                  const CacheEstimate& cache,
                  const EngineProfile& profile,
                  TimePoint now) {
  const RouteEstimate estimate =
      EstimateRoute(request, record, cache.cached_tokens, profile, now);
  const double shared =
      std::max(0.0, cache.shared_tokens - cache.cached_tokens);
  // NOTE: Shared instructions are computed once per endpoint. If they counted,
  // new prompts would crowd onto the endpoints that already cache them.
  const double own = estimate.uncached_tokens - shared;
  // Newly cached tokens evict as many others, part of which is needed again.
  const double evicted = own * kEvictionWeight * cache.eviction_pressure;
  const double recomputed =
      own * (cache.is_home ? 1.0 - kHomeDiscount : 1.0) + evicted;
  const double recompute_seconds =
      recomputed / profile.prefill_tokens_per_second;
  const double lateness =
      Lateness(estimate.first_token_seconds, request.first_token_target,
               kSafeFirstTokenShare) +
      Lateness(estimate.token_gap_seconds, request.token_gap_target,
               kSafeTokenGapShare);
  const double distance = kDistanceWeight * estimate.network_seconds;
  const double balance =
      request.expected_output_tokens == 0
          ? kBalanceWeight * estimate.occupied_slots / record.attributes.slots
          : 0.0;
  return kBaseScore + distance + balance +
         request.cost_weight * (estimate.cost + ByteCost(request, record)) +
         request.recompute_weight * kRecomputePrice * recompute_seconds +
         kLatenessWeight * lateness;
}

std::optional<EndpointId> ChooseEndpoint(const RouteRequest& request,
                                         const RouteContext& context,
                                         std::mt19937_64& generator) {
  const PrefixLookup lookup = context.prefixes.Find(request.prompt);
  std::uniform_real_distribution<double> jitter(
      0.0, request.expected_output_tokens == 0 ? kPlainJitter : kModelJitter);
  const Records candidates =
      Candidates(request, context, lookup.holders, generator);
  const EndpointRecord* home = FindHome(request, candidates);
  const EndpointRecord* best = nullptr;
  std::tuple<bool, bool, double> best_rank;
  for (const EndpointRecord* record : candidates) {
    const bool is_avoided =
        std::find(request.avoid.begin(), request.avoid.end(),
                  record->endpoint.id) != request.avoid.end();
    const bool is_ejected = record->ejected_until > context.now;
    CacheEstimate cache = EstimateCache(context, lookup, *record);
    cache.is_home = record == home;
    const double score =
        ScoreRoute(request, *record, cache, context.profile, context.now);
    const std::tuple<bool, bool, double> rank(is_avoided, is_ejected,
                                              score + jitter(generator));
    if (best == nullptr || rank < best_rank) {
      best = record;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->endpoint.id;
}

}  // namespace pistachiowalk
