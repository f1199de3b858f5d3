#include "baseline_policies.h"

#include <algorithm>

namespace pistachiowalk::measure {
namespace {

using Records = std::vector<const EndpointRecord*>;

Records LiveRecords(const RouteRequest& request, const RouteContext& context) {
  Records records;
  for (const Records& list :
       context.endpoints.Live(request.service).by_proximity) {
    records.insert(records.end(), list.begin(), list.end());
  }
  std::sort(records.begin(), records.end(),
            [](const EndpointRecord* a, const EndpointRecord* b) {
              return a->key < b->key;
            });
  return records;
}

uint32_t ReportedLoad(const EndpointRecord& record) {
  return record.report.running + record.report.waiting;
}

std::optional<EndpointId> RoundRobin(const RouteRequest& request,
                                     const RouteContext& context,
                                     PolicyState& state) {
  const Records records = LiveRecords(request, context);
  if (records.empty()) {
    return std::nullopt;
  }
  return records[state.next++ % records.size()]->endpoint.id;
}

std::optional<EndpointId> Random(const RouteRequest& request,
                                 const RouteContext& context,
                                 PolicyState& state) {
  const Records records = LiveRecords(request, context);
  if (records.empty()) {
    return std::nullopt;
  }
  return records[state.generator() % records.size()]->endpoint.id;
}

std::optional<EndpointId> LeastLoaded(const RouteRequest& request,
                                      const RouteContext& context,
                                      PolicyState& /*state*/) {
  const Records records = LiveRecords(request, context);
  if (records.empty()) {
    return std::nullopt;
  }
  const auto least =
      std::min_element(records.begin(), records.end(),
                       [](const EndpointRecord* a, const EndpointRecord* b) {
                         return ReportedLoad(*a) < ReportedLoad(*b);
                       });
  return (*least)->endpoint.id;
}

std::optional<EndpointId> PowerOfTwo(const RouteRequest& request,
                                     const RouteContext& context,
                                     PolicyState& state) {
  const Records records = LiveRecords(request, context);
  if (records.empty()) {
    return std::nullopt;
  }
  const EndpointRecord* a = records[state.generator() % records.size()];
  const EndpointRecord* b = records[state.generator() % records.size()];
  const auto load = [](const EndpointRecord* record) {
    return ReportedLoad(*record) + record->recent_sends.size();
  };
  return (load(a) <= load(b) ? a : b)->endpoint.id;
}

// Rendezvous hashing of the conversation: the prompt's first two blocks.
std::optional<EndpointId> PrefixHash(const RouteRequest& request,
                                     const RouteContext& context,
                                     PolicyState& /*state*/) {
  const Records records = LiveRecords(request, context);
  if (records.empty()) {
    return std::nullopt;
  }
  const size_t last = std::min<size_t>(2, request.prompt.size()) - 1;
  const uint64_t prefix = request.prompt[last].hash;
  const auto weight = [prefix](const EndpointRecord* record) {
    return std::mt19937_64(record->key ^ prefix)();
  };
  const auto heaviest = std::max_element(
      records.begin(), records.end(),
      [&weight](const EndpointRecord* a, const EndpointRecord* b) {
        return weight(a) < weight(b);
      });
  return (*heaviest)->endpoint.id;
}

std::optional<EndpointId> Pistachiowalk(const RouteRequest& request,
                                        const RouteContext& context,
                                        PolicyState& state) {
  return ChooseEndpoint(request, context, state.generator);
}

}  // namespace

std::vector<NamedPolicy> AllPolicies() {
  return {{"round_robin", RoundRobin},   {"random", Random},
          {"least_loaded", LeastLoaded}, {"power_of_two", PowerOfTwo},
          {"prefix_hash", PrefixHash},   {"pistachiowalk", Pistachiowalk}};
}

}  // namespace pistachiowalk::measure
