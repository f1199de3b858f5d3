#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "bundle/bundle.h"
#include "request/request_event.h"
#include "request/request_spec.h"
#include "routing/choose_endpoint.h"

namespace pistachiowalk {

class ActiveBundle;
class EndpointDirectory;

// Chooses endpoints for requests. It supplies the routing core with the
// endpoint attributes from the bundle, the load that endpoints report and the
// requests that this node has sent.
class RoutingService {
 public:
  // `seed` must differ between nodes, so that they do not all choose the same
  // endpoint.
  RoutingService(const Clock& clock,
                 EndpointDirectory& directory,
                 const ActiveBundle& bundle,
                 PlaceName place,
                 uint64_t seed);

  // `chat_body` is the caller's chat request, or empty for a plain service.
  std::optional<EndpointId> Choose(const RequestSpec& spec,
                                   const Bundle& bundle,
                                   const std::string& chat_body,
                                   std::vector<EndpointId> avoid);
  // Returns the shortest wait reported by the sampled endpoints of a model
  // service, or zero for a plain service.
  Duration ExpectedWait(const Service& service) const;
  void RecordSend(const EndpointId& endpoint, const std::string& chat_body);
  void RecordSuccess(const EndpointId& endpoint);
  void RecordFailure(const EndpointId& endpoint, DispatchCertainty dispatch);
  // Records the load that an endpoint reported in its response headers.
  void RecordLoad(const EndpointId& endpoint,
                  uint32_t running,
                  uint32_t waiting);

 private:
  void RefreshFacts();

  const Clock& m_clock;
  EndpointDirectory& m_directory;
  const ActiveBundle& m_bundle;
  PlaceName m_place;
  std::mt19937_64 m_generator;
  PrefixIndex m_prefixes;
  // The bundle version and list count at the last refresh of the facts.
  BundleVersion m_facts_bundle_version = 0;
  uint64_t m_facts_list_count = 0;
};

}  // namespace pistachiowalk
