#include "daemon/routing_service.h"

#include <algorithm>
#include <chrono>

#include "daemon/active_bundle.h"
#include "daemon/endpoint_directory.h"
#include "daemon/prompt_blocks.h"

namespace pistachiowalk {
namespace {

// Assumed length of a completion, which is not known in advance.
constexpr uint32_t kExpectedOutputTokens = 200;
// Endpoints per proximity that are sampled for the expected wait.
constexpr size_t kWaitSampleSize = 16;

EndpointAttributes MakeEndpointFacts(const Endpoint& endpoint,
                                     const Bundle& bundle,
                                     const PlaceName& local_place) {
  EndpointAttributes facts;
  if (const VmClass* vm_class = FindVmClass(bundle, endpoint.vm_class)) {
    facts.price_per_hour = vm_class->price_per_hour;
    facts.is_reclaimable = vm_class->is_reclaimable;
    facts.slots = vm_class->slots;
  }
  const Place* local = FindPlace(bundle, local_place);
  const Place* place = FindPlace(bundle, endpoint.place);
  if (endpoint.place == local_place) {
    facts.proximity = Proximity::kSamePlace;
  } else if (local != nullptr && place != nullptr &&
             local->region == place->region) {
    facts.proximity = Proximity::kSameRegion;
  } else {
    facts.proximity = Proximity::kCrossRegion;
  }
  if (place != nullptr) {
    facts.price_per_hour *= place->price_factor;
  }
  return facts;
}

}  // namespace

RoutingService::RoutingService(const Clock& clock,
                               EndpointDirectory& directory,
                               const ActiveBundle& bundle,
                               PlaceName place,
                               uint64_t seed)
    : m_clock(clock),
      m_directory(directory),
      m_bundle(bundle),
      m_place(std::move(place)),
      m_generator(seed) {}

void RoutingService::RefreshFacts() {
  const auto& bundle = m_bundle.current();
  if (!bundle || (m_facts_bundle_version == bundle->version &&
                  m_facts_list_count == m_directory.list_count())) {
    return;
  }
  m_facts_bundle_version = bundle->version;
  m_facts_list_count = m_directory.list_count();
  for (const auto& [id, record] : m_directory.table().records()) {
    m_directory.table().SetAttributes(
        id, MakeEndpointFacts(record.endpoint, *bundle, m_place));
  }
}

std::optional<EndpointId> RoutingService::Choose(
    const RequestSpec& spec,
    const Bundle& bundle,
    const std::string& chat_body,
    std::vector<EndpointId> avoid) {
  RefreshFacts();
  RouteRequest request;
  request.service = spec.service;
  request.deadline = spec.deadline;
  request.avoid = std::move(avoid);
  if (!chat_body.empty()) {
    request.prompt = ReadPromptBlocks(chat_body);
    request.expected_output_tokens = kExpectedOutputTokens;
  }
  if (const Service* service = FindService(bundle, spec.service)) {
    request.first_token_target = service->first_token_target;
    request.token_gap_target = service->token_gap_target;
    request.cost_weight = service->cost_weight;
    request.recompute_weight = service->recompute_weight;
  }
  const RouteContext context{.endpoints = m_directory.table(),
                             .prefixes = m_prefixes,
                             .now = m_clock.Now()};
  return ChooseEndpoint(request, context, m_generator);
}

Duration RoutingService::ExpectedWait(const Service& service) const {
  if (service.kind != ServiceKind::kModel) {
    return Duration::zero();
  }
  std::optional<Duration> shortest;
  for (const auto& list : m_directory.table().Live(service.name).by_proximity) {
    // NOTE: Only a few endpoints are sampled, so that rejecting a request stays
    // cheap.
    const size_t count = std::min(list.size(), kWaitSampleSize);
    for (size_t i = 0; i < count; ++i) {
      const Duration wait =
          ReportedWait(*list[i], kExpectedOutputTokens, {}, m_clock.Now());
      shortest = std::min(shortest.value_or(wait), wait);
    }
  }
  return shortest.value_or(Duration::zero());
}

void RoutingService::RecordSend(const EndpointId& endpoint,
                                const std::string& chat_body) {
  RecentSend send{.sent_at = m_clock.Now()};
  if (!chat_body.empty()) {
    const std::vector<PrefixBlock> prompt = ReadPromptBlocks(chat_body);
    const uint64_t key = EndpointKey(endpoint.value());
    send.prefill_tokens = m_prefixes.UncachedTokens(key, prompt);
    m_prefixes.RecordSend(key, prompt, send.sent_at);
  }
  m_directory.table().AddSend(endpoint, send);
}

void RoutingService::RecordSuccess(const EndpointId& endpoint) {
  m_directory.table().RecordResult(endpoint, AttemptResult::kSucceeded,
                                   m_clock.Now());
}

void RoutingService::RecordFailure(const EndpointId& endpoint,
                                   DispatchCertainty dispatch) {
  const auto result = dispatch == DispatchCertainty::kNotDispatched
                          ? AttemptResult::kConnectionFailed
                          : AttemptResult::kFailed;
  m_directory.table().RecordResult(endpoint, result, m_clock.Now());
}

void RoutingService::RecordLoad(const EndpointId& endpoint,
                                uint32_t running,
                                uint32_t waiting) {
  m_directory.table().ApplyReport(
      endpoint,
      LoadReport{
          .sampled_at = m_clock.Now(), .running = running, .waiting = waiting});
}

}  // namespace pistachiowalk
