#include "routing/choose_endpoint.h"

#include <map>
#include <string>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::seconds;

constexpr uint64_t kSeed = 5;
const ServiceName kChat("chat");

Endpoint MakeEndpoint(const std::string& id) {
  Endpoint endpoint;
  endpoint.id = EndpointId(id);
  endpoint.service = kChat;
  return endpoint;
}

// A node's routing state, which each test fills in.
struct Node {
  EndpointTable table;
  PrefixIndex prefixes;
  TimePoint now{};
  std::mt19937_64 generator{kSeed};

  void Add(std::vector<std::string> ids) {
    std::vector<Endpoint> list;
    for (const std::string& id : ids) {
      list.push_back(MakeEndpoint(id));
    }
    table.ApplyVmList(list, now);
  }
  std::optional<EndpointId> Choose(const RouteRequest& request) {
    return ChooseEndpoint(
        request, {.endpoints = table, .prefixes = prefixes, .now = now},
        generator);
  }
};

RouteRequest PlainRequest() {
  RouteRequest request;
  request.service = kChat;
  return request;
}

RouteRequest ModelRequest() {
  RouteRequest request = PlainRequest();
  request.prompt = {{.hash = 1, .tokens = 500}, {.hash = 2, .tokens = 8000}};
  request.expected_output_tokens = 200;
  return request;
}

constexpr EndpointAttributes kFar{.proximity = Proximity::kCrossRegion};

}  // namespace

Test(choose_endpoint, prefers_local_then_fewest_in_flight_then_avoided) {
  Node node;
  node.Add({"far", "n1", "n2"});
  node.table.SetAttributes(EndpointId("far"), kFar);
  node.table.AddInFlight(EndpointId("n1"));
  RouteRequest request = PlainRequest();
  cr_assert(node.Choose(request) == EndpointId("n2"));
  request.avoid = {EndpointId("n1"), EndpointId("n2")};
  cr_assert(node.Choose(request) == EndpointId("far"));
  node.table.MarkLeaving(EndpointId("far"), TimePoint{});
  cr_assert(node.Choose(request) == EndpointId("n2"));
}

Test(choose_endpoint, none_is_chosen_when_none_is_live) {
  Node node;
  cr_assert(not(node.Choose(PlainRequest()).has_value()));
}

Test(choose_endpoint,
     equal_endpoints_share_the_load_of_nodes_with_the_same_view) {
  std::map<EndpointId, int> chosen;
  for (uint64_t seed = 0; seed < 60; ++seed) {
    Node node;
    node.generator.seed(seed);
    node.Add({"n1", "n2", "n3"});
    ++chosen[*node.Choose(PlainRequest())];
  }
  cr_assert(chosen.size() == 3);
  for (const auto& [id, count] : chosen) {
    cr_assert(count < 40);
  }
}

Test(choose_endpoint, a_long_prompt_goes_to_the_endpoint_that_caches_it) {
  for (const char* holder : {"n1", "n2", "n3"}) {
    Node node;
    node.Add({"n1", "n2", "n3"});
    const RouteRequest request = ModelRequest();
    node.prefixes.RecordSend(EndpointKey(holder), request.prompt, node.now);
    cr_assert(node.Choose(request) == EndpointId(holder));
  }
}

Test(choose_endpoint, a_holder_with_a_full_queue_is_not_chosen) {
  Node node;
  node.Add({"n1", "n2", "n3"});
  const RouteRequest request = ModelRequest();
  node.prefixes.RecordSend(EndpointKey("n1"), request.prompt, node.now);
  node.table.ApplyReport(EndpointId("n1"), {.sampled_at = node.now,
                                            .running = 16,
                                            .waiting = 40,
                                            .pending_prefill_tokens = 200000});
  cr_assert(not(node.Choose(request) == EndpointId("n1")));
}

Test(choose_endpoint, an_ejected_endpoint_is_used_again_after_its_ejection) {
  Node node;
  node.Add({"n1", "n2", "n3", "n4"});
  RouteRequest request = PlainRequest();
  request.avoid = {EndpointId("n2"), EndpointId("n3"), EndpointId("n4")};
  node.table.RecordResult(EndpointId("n1"), AttemptResult::kConnectionFailed,
                          node.now);
  request.avoid.pop_back();
  cr_assert(node.Choose(request) == EndpointId("n4"));
  node.now += seconds(4);
  request.avoid.emplace_back("n4");
  cr_assert(node.Choose(request) == EndpointId("n1"));
}

Test(choose_endpoint, a_new_endpoint_starts_slowly) {
  EndpointRecord record;
  record.needs_slow_start = true;
  record.in_flight = 4;
  const EngineProfile profile;
  const RouteRequest request = ModelRequest();
  const TimePoint start{};
  const auto early = EstimateRoute(request, record, 0, profile, start);
  const auto later =
      EstimateRoute(request, record, 0, profile, start + seconds(20));
  cr_assert(early.first_token_seconds > later.first_token_seconds + 1.0);
}

Test(prefix_index, late_and_duplicate_batches_are_ignored) {
  PrefixIndex index;
  const TimePoint now{};
  const std::vector<PrefixBlock> prompt{{.hash = 9, .tokens = 100}};
  index.ApplyEvents({.endpoint_key = 1,
                     .sequence = 2,
                     .events = {{CacheEventKind::kRemoved, 9}}},
                    now);
  index.ApplyEvents({.endpoint_key = 1,
                     .sequence = 1,
                     .events = {{CacheEventKind::kStored, 9}}},
                    now);
  cr_assert(index.Find(prompt).holders.empty());
}

Test(prefix_index, a_gap_lowers_confidence_until_the_block_is_stored_again) {
  PrefixIndex index;
  const TimePoint now{};
  const std::vector<PrefixBlock> prompt{{.hash = 9, .tokens = 100}};
  const std::vector<CacheEvent> stored{{CacheEventKind::kStored, 9}};
  index.ApplyEvents({.endpoint_key = 1, .sequence = 1, .events = stored}, now);
  index.ApplyEvents({.endpoint_key = 1, .sequence = 3}, now + seconds(1));
  cr_assert(index.Find(prompt).holders.front().tokens < 100.0);
  index.ApplyEvents({.endpoint_key = 1, .sequence = 4, .events = stored},
                    now + seconds(2));
  cr_assert(index.Find(prompt).holders.front().tokens == 100.0);
}

Test(prefix_index, memory_is_bounded) {
  PrefixIndex index;
  for (uint64_t hash = 0; hash < 200000; ++hash) {
    const PrefixBlock block{.hash = hash, .tokens = 1};
    index.RecordSend(1, {&block, 1}, TimePoint{});
  }
  cr_assert(index.BlockCount() <= 65536);
}
