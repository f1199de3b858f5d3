#include "upstream/endpoint_registry.h"

#include <algorithm>

#include "serving/worker_limits.h"

namespace pistachiowalk {
namespace {

// Fraction of an endpoint's connections that is split over the known nodes. The
// rest is for nodes that just started, which the others do not count yet.
constexpr double kSharedFraction = 0.85;
constexpr uint32_t kMinimumConnections = 2;
// Number of endpoints that have said that they leave, above which those without
// an entry are forgotten.
constexpr size_t kMaximumLeaving = 10000;

Proximity ProximityOf(const CandidateQuery& query,
                      const DataCenterName& place) {
  if (place == query.data_center) {
    return Proximity::kSamePlace;
  }
  const auto own = query.regions.find(query.data_center);
  const auto other = query.regions.find(place);
  if (own != query.regions.end() && other != query.regions.end() &&
      own->second == other->second) {
    return Proximity::kSameRegion;
  }
  return Proximity::kCrossRegion;
}

ExpectedPrefix CachedPrefix(const PrefixLookup& lookup, uint64_t key) {
  for (const ExpectedPrefix& holder : lookup.holders) {
    if (holder.endpoint_key == key) {
      return holder;
    }
  }
  return ExpectedPrefix{};
}

}  // namespace

EndpointRegistry::EndpointRegistry(EventLoop& loop,
                                   PeerWork peer_work,
                                   const WorkerLimits& limits)
    : m_loop(loop), m_peer_work(std::move(peer_work)), m_limits(limits) {}

void EndpointRegistry::Follow(const EndpointCatalog& catalog) {
  if (catalog.revision() == m_followed_revision) {
    return;
  }
  m_followed_revision = catalog.revision();
  std::map<EndpointId, LiveEndpointPtr> followed;
  if (m_leaving.size() > kMaximumLeaving) {
    std::erase_if(m_leaving, [&](const auto& leaving) {
      return !catalog.entries().contains(leaving.first);
    });
  }
  for (const auto& [id, entry] : catalog.entries()) {
    if (entry.state != EndpointState::kLive || IsLeaving(entry)) {
      continue;
    }
    const auto known = m_endpoints.find(id);
    if (known != m_endpoints.end() &&
        known->second->entry().incarnation == entry.incarnation &&
        known->second->entry().address == entry.address) {
      known->second->SetEntry(entry);
      followed[id] = known->second;
      continue;
    }
    followed[id] = new LiveEndpoint(m_loop, entry);
    ApplyLimit(*followed[id]);
  }
  for (const auto& [id, endpoint] : m_endpoints) {
    const auto kept = followed.find(id);
    if (kept == followed.end() || kept->second != endpoint) {
      endpoint->connections.CloseIdle();
    }
  }
  m_endpoints = std::move(followed);
  m_by_service.clear();
  for (const auto& [id, endpoint] : m_endpoints) {
    m_by_service[endpoint->entry().service].push_back(endpoint);
  }
}

void EndpointRegistry::SetConnectionLimits(
    const std::map<ServiceName, uint32_t>& limits,
    size_t nodes) {
  m_connection_limits = limits;
  m_nodes = std::max<size_t>(1, nodes);
  for (const auto& [id, endpoint] : m_endpoints) {
    ApplyLimit(*endpoint);
  }
}

void EndpointRegistry::ApplyLimit(LiveEndpoint& endpoint) const {
  const auto limit = m_connection_limits.find(endpoint.entry().service);
  if (limit == m_connection_limits.end() || limit->second == 0) {
    endpoint.connections.SetMaximum(0);
    return;
  }
  const double share =
      kSharedFraction * limit->second / static_cast<double>(m_nodes);
  endpoint.connections.SetMaximum(
      std::max(kMinimumConnections, static_cast<uint32_t>(share)));
}

bool EndpointRegistry::IsLeaving(const EndpointEntry& entry) const {
  const auto leaving = m_leaving.find(entry.id);
  return leaving != m_leaving.end() &&
         leaving->second == Leaving{.address = entry.address,
                                    .incarnation = entry.incarnation};
}

bool EndpointRegistry::NoteLeaving(const LiveEndpoint& endpoint) {
  const EndpointEntry& entry = endpoint.entry();
  if (IsLeaving(entry)) {
    return false;
  }
  m_leaving[entry.id] =
      Leaving{.address = entry.address, .incarnation = entry.incarnation};
  const auto known = m_endpoints.find(entry.id);
  if (known == m_endpoints.end() || known->second.get() != &endpoint) {
    return true;
  }
  known->second->connections.CloseIdle();
  std::erase(m_by_service[entry.service], known->second);
  m_endpoints.erase(known);
  return true;
}

std::vector<LiveEndpointPtr> EndpointRegistry::UsableEndpoints(
    const ServiceName& service,
    TimePoint now) const {
  const auto known = m_by_service.find(service);
  if (known == m_by_service.end()) {
    return {};
  }
  if (IsListConfirmed(now) || m_list_terms.may_use_all) {
    return known->second;
  }
  std::vector<LiveEndpointPtr> usable;
  if (now > m_list_terms.answers_until) {
    return usable;
  }
  std::copy_if(known->second.begin(), known->second.end(),
               std::back_inserter(usable),
               [&](const LiveEndpointPtr& endpoint) {
                 return now - endpoint->answered_at <= m_list_terms.answer_age;
               });
  return usable;
}

std::vector<PlacementCandidate> EndpointRegistry::Candidates(
    const CandidateQuery& query) {
  std::vector<PlacementCandidate> candidates;
  const std::vector<LiveEndpointPtr> endpoints =
      UsableEndpoints(query.service, query.now);
  const PrefixLookup lookup = m_prefixes.Find(query.prompt);
  candidates.reserve(endpoints.size());
  std::vector<const LiveEndpoint*> listed;
  for (const LiveEndpointPtr& endpoint : endpoints) {
    const EndpointEntry& entry = endpoint->entry();
    if ((query.version && entry.version != *query.version) ||
        !IsAllowed(query.version_rule, entry.version, endpoint->key(),
                   query.falls_back)) {
      continue;
    }
    const ExpectedPrefix cached = CachedPrefix(lookup, endpoint->key());
    candidates.push_back(PlacementCandidate{
        .id = entry.id,
        .key = endpoint->key(),
        .proximity = ProximityOf(query, entry.data_center),
        .load = EndpointLoad{.outstanding = endpoint->own_work +
                                            m_peer_work(endpoint->key()),
                             .reported_load = endpoint->reported_load,
                             .has_reported_load = endpoint->has_reported_load,
                             .slots = entry.slots,
                             .cache_tokens = query.cache_tokens,
                             .slowdown = endpoint->health.slowdown()},
        .cached_tokens = cached.tokens,
        .cached_since = cached.since,
        .cached_at = cached.seen_at,
        .version = entry.version,
        .failure_score = endpoint->health.FailureScore(query.now),
        .is_ejected = endpoint->health.IsEjected(query.now),
        .is_avoided = std::find(query.avoid.begin(), query.avoid.end(),
                                entry.id) != query.avoid.end(),
        .has_no_free_connection = !endpoint->connections.CanAcquire(query.now),
        .has_reached_limit = !m_limits.CanSend(endpoint->key(), query.now),
        .pause =
            std::max(Duration::zero(), endpoint->paused_until - query.now)});
    listed.push_back(endpoint.get());
  }
  if (m_learns_capacity) {
    SetCapacities(query, listed, candidates);
  }
  return candidates;
}

CapacitySamples EndpointRegistry::SamplesOf(const LiveEndpoint& endpoint,
                                            TimePoint now) const {
  return CombineSamples(endpoint.capacity,
                        m_peer_capacities.SamplesOf(endpoint.key()), now);
}

MomentaryPace EndpointRegistry::MomentaryOf(
    const LiveEndpoint& endpoint) const {
  const MomentaryPace& own = endpoint.work_time.latest;
  const MomentaryPace heard = m_peer_capacities.MomentaryOf(endpoint.key());
  return heard.at > own.at ? heard : own;
}

UsualPace EndpointRegistry::UsualPaceOf(const ServiceName& service,
                                        TimePoint now) const {
  std::vector<CapacitySamples> samples;
  const auto known = m_by_service.find(service);
  if (known != m_by_service.end()) {
    for (const LiveEndpointPtr& endpoint : known->second) {
      samples.push_back(SamplesOf(*endpoint, now));
    }
  }
  return FindUsualPace(samples, now);
}

void EndpointRegistry::SetCapacities(
    const CandidateQuery& query,
    const std::vector<const LiveEndpoint*>& endpoints,
    std::vector<PlacementCandidate>& candidates) const {
  const TimePoint now = query.now;
  std::vector<CapacitySamples> samples;
  samples.reserve(endpoints.size());
  for (const LiveEndpoint* endpoint : endpoints) {
    samples.push_back(SamplesOf(*endpoint, now));
  }
  const UsualPace usual = FindUsualPace(samples, now);
  for (size_t i = 0; i < candidates.size(); ++i) {
    const LiveEndpoint& endpoint = *endpoints[i];
    EndpointLoad& load = candidates[i].load;
    load.momentary_pace = MomentaryFactor(MomentaryOf(endpoint), now);
    load.pace = PaceFactor(samples[i], usual, now) * load.momentary_pace;
  }
}

bool EndpointRegistry::HasVersion(const ServiceName& service,
                                  const SoftwareVersion& version) const {
  const auto known = m_by_service.find(service);
  return known != m_by_service.end() &&
         std::any_of(known->second.begin(), known->second.end(),
                     [&](const LiveEndpointPtr& endpoint) {
                       return endpoint->entry().version == version;
                     });
}

LiveEndpointPtr EndpointRegistry::Find(const EndpointId& id) const {
  const auto it = m_endpoints.find(id);
  return it == m_endpoints.end() ? nullptr : it->second;
}

void EndpointRegistry::CloseExpiredConnections(TimePoint now) {
  for (const auto& [id, endpoint] : m_endpoints) {
    endpoint->connections.CloseExpired(now);
  }
}

}  // namespace pistachiowalk
