#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "following/endpoint_catalog.h"
#include "rollout/version_rule.h"
#include "routing/prefix_index.h"
#include "serving/peer_capacities.h"
#include "serving/place_request.h"
#include "upstream/live_endpoint.h"

namespace pistachiowalk {

class WorkerLimits;

// Inputs for listing the candidates of one request.
struct CandidateQuery {
  ServiceName service;
  // If set, only endpoints of this version.
  std::optional<SoftwareVersion> version;
  // Of a roll-out of the service, and whether no worker of its target can take
  // the request.
  VersionRule version_rule;
  bool falls_back = false;
  DataCenterName data_center;
  // Region of each data centre.
  const std::map<DataCenterName, RegionName>& regions;
  // Endpoints that the request has already tried.
  const std::vector<EndpointId>& avoid;
  std::span<const PrefixBlock> prompt;
  uint64_t cache_tokens = 0;
  TimePoint now{};
};

// Until when the list of endpoints is known to be recent enough, and what may
// be used afterwards.
struct EndpointListTerms {
  TimePoint confirmed_until = TimePoint::max();
  // Afterwards, endpoints that answered within this time and did not say that
  // they leave.
  Duration answer_age{};
  // Until when these may be used: an endpoint's answers need not say that it
  // leaves.
  TimePoint answers_until = TimePoint::max();
  // Whether all endpoints of the list may be used nevertheless.
  bool may_use_all = false;

  friend auto operator<=>(const EndpointListTerms&,
                          const EndpointListTerms&) = default;
};

// The live endpoints with their connections and load, as used by this node.
// Kept in sync with EndpointCatalog.
class EndpointRegistry {
 public:
  // Returns the other nodes' outstanding work at an endpoint, by its key.
  using PeerWork = std::function<OutstandingWork(uint64_t endpoint_key)>;

  EndpointRegistry(EventLoop& loop,
                   PeerWork peer_work,
                   const WorkerLimits& limits);

  // Synchronizes the endpoints with the live entries of `catalog`.
  void Follow(const EndpointCatalog& catalog);
  // Splits the services' connection limits evenly over `nodes`.
  void SetConnectionLimits(const std::map<ServiceName, uint32_t>& limits,
                           size_t nodes);
  // Called when a response of the endpoint said that it leaves. It gets no
  // further request, whatever its entry says, until it has started again.
  // Returns false if that was known.
  bool NoteLeaving(const LiveEndpoint& endpoint);
  void SetListTerms(const EndpointListTerms& terms) { m_list_terms = terms; }
  bool IsListConfirmed(TimePoint now) const {
    return now <= m_list_terms.confirmed_until;
  }
  std::vector<PlacementCandidate> Candidates(const CandidateQuery& query);
  // Whether a live endpoint of the service has the version.
  bool HasVersion(const ServiceName& service,
                  const SoftwareVersion& version) const;
  // Returns nullptr if the endpoint is unknown or leaving.
  LiveEndpointPtr Find(const EndpointId& id) const;
  const std::map<EndpointId, LiveEndpointPtr>& endpoints() const {
    return m_endpoints;
  }
  PrefixIndex& prefixes() { return m_prefixes; }
  PeerCapacities& peer_capacities() { return m_peer_capacities; }
  // Whether requests are placed by what was found out of each endpoint's
  // capacity.
  void SetLearnsCapacity(bool learns) { m_learns_capacity = learns; }
  bool learns_capacity() const { return m_learns_capacity; }
  // What all nodes together have measured of the endpoint.
  CapacitySamples SamplesOf(const LiveEndpoint& endpoint, TimePoint now) const;
  // The most recent report of the endpoint, to whichever node.
  MomentaryPace MomentaryOf(const LiveEndpoint& endpoint) const;
  // Of the endpoints of one service, by FindUsualPace().
  UsualPace UsualPaceOf(const ServiceName& service, TimePoint now) const;
  void CloseExpiredConnections(TimePoint now);

 private:
  void ApplyLimit(LiveEndpoint& endpoint) const;
  // Sets what was found out of the candidates' capacity; `endpoints` are theirs
  // in the same order.
  void SetCapacities(const CandidateQuery& query,
                     const std::vector<const LiveEndpoint*>& endpoints,
                     std::vector<PlacementCandidate>& candidates) const;
  bool IsLeaving(const EndpointEntry& entry) const;
  // The endpoints of a service that may be used at `now`.
  std::vector<LiveEndpointPtr> UsableEndpoints(const ServiceName& service,
                                               TimePoint now) const;

  EventLoop& m_loop;
  PeerWork m_peer_work;
  const WorkerLimits& m_limits;
  std::map<EndpointId, LiveEndpointPtr> m_endpoints;
  std::map<ServiceName, std::vector<LiveEndpointPtr>> m_by_service;
  // The address and incarnation of endpoints that said that they leave.
  struct Leaving {
    SocketAddress address;
    uint64_t incarnation = 0;

    friend auto operator<=>(const Leaving&, const Leaving&) = default;
  };
  std::map<EndpointId, Leaving> m_leaving;
  std::map<ServiceName, uint32_t> m_connection_limits;
  size_t m_nodes = 1;
  uint64_t m_followed_revision = 0;
  EndpointListTerms m_list_terms;
  PrefixIndex m_prefixes;
  PeerCapacities m_peer_capacities;
  bool m_learns_capacity = true;
};

}  // namespace pistachiowalk
