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

// Feeds the routing core of one node: the facts of the bundle, what endpoints
// report and what this node has sent.
class RoutingService {
 public:
  // `seed` differs between nodes, so that they do not all choose alike.
  RoutingService(const Clock& clock,
                 EndpointDirectory& directory,
                 const ActiveBundle& bundle,
                 PlaceName place,
                 uint64_t seed);

  // `chat_body` is the caller's chat request, "" for a plain service.
  std::optional<EndpointId> Choose(const RequestSpec& spec,
                                   const Bundle& bundle,
                                   const std::string& chat_body,
                                   std::vector<EndpointId> avoid);
  // Shortest wait that endpoints of a model service report, zero for a plain
  // service.
  Duration ExpectedWait(const Service& service) const;
  void RecordSend(const EndpointId& endpoint, const std::string& chat_body);
  void RecordSuccess(const EndpointId& endpoint);
  void RecordFailure(const EndpointId& endpoint, DispatchCertainty dispatch);
  // Takes in the load headers of an endpoint's answer.
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
  // What the facts were last made from.
  BundleVersion m_facts_bundle_version = 0;
  uint64_t m_facts_list_count = 0;
};

}  // namespace pistachiowalk
