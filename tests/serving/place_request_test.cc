#include "serving/place_request.h"

#include <map>
#include <string>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

const TimePoint kNow(std::chrono::seconds(100));
constexpr EngineSpeed kSpeed;

PlacementCandidate MakeCandidate(const std::string& id, Proximity proximity) {
  return PlacementCandidate{
      .id = EndpointId(id),
      .key = EndpointKey(id),
      .proximity = proximity,
      .load = EndpointLoad{.slots = 64, .cache_tokens = 400000}};
}

PlacementRequest LongPrompt(uint64_t affinity) {
  return PlacementRequest{.prompt_tokens = 9000.0,
                          .output_tokens = 60.0,
                          .affinity = affinity,
                          .unshared_tokens = 2900.0,
                          .request_bytes = 18000.0};
}

}  // namespace

Test(place_request, nodes_without_cache_state_agree_on_a_prompts_home) {
  const std::vector<PlacementCandidate> candidates = {
      MakeCandidate("a", Proximity::kSamePlace),
      MakeCandidate("b", Proximity::kSamePlace),
      MakeCandidate("c", Proximity::kSamePlace)};
  std::map<EndpointId, int> homes;
  for (uint64_t affinity = 1; affinity <= 300; ++affinity) {
    const auto one = PlaceRequest(LongPrompt(affinity * 7919), candidates,
                                  kSpeed, 0.1, kNow);
    const auto other = PlaceRequest(LongPrompt(affinity * 7919), candidates,
                                    kSpeed, 0.9, kNow);
    cr_assert(one->id == other->id);
    ++homes[one->id];
  }
  // Home endpoints are spread evenly.
  for (const auto& [id, count] : homes) {
    cr_assert(count > 60);
  }
  cr_assert(homes.size() == 3);
}

Test(place_request, a_busy_home_is_not_chosen) {
  std::vector<PlacementCandidate> candidates = {
      MakeCandidate("a", Proximity::kSamePlace),
      MakeCandidate("b", Proximity::kSamePlace)};
  const auto home = PlaceRequest(LongPrompt(42), candidates, kSpeed, 0.5, kNow);
  for (PlacementCandidate& candidate : candidates) {
    if (candidate.id == home->id) {
      candidate.load.outstanding.pending_prompt_tokens = 20000.0;
    }
  }
  const auto other =
      PlaceRequest(LongPrompt(42), candidates, kSpeed, 0.5, kNow);
  cr_assert(other->id != home->id);
}

Test(place_request, a_near_endpoint_is_preferred_until_it_queues) {
  std::vector<PlacementCandidate> candidates = {
      MakeCandidate("near", Proximity::kSamePlace),
      MakeCandidate("far", Proximity::kCrossRegion)};
  cr_assert(PlaceRequest(LongPrompt(0), candidates, kSpeed, 0.5, kNow)->id ==
            EndpointId("near"));
  candidates[0].load.outstanding.pending_prompt_tokens = 40000.0;
  cr_assert(PlaceRequest(LongPrompt(0), candidates, kSpeed, 0.5, kNow)->id ==
            EndpointId("far"));
}

Test(place_request, ejected_used_and_bad_endpoints_are_the_last_choice) {
  std::vector<PlacementCandidate> candidates = {
      MakeCandidate("good", Proximity::kCrossRegion),
      MakeCandidate("ejected", Proximity::kSamePlace),
      MakeCandidate("used", Proximity::kSamePlace),
      MakeCandidate("bad", Proximity::kSamePlace)};
  candidates[1].is_ejected = true;
  candidates[2].is_avoided = true;
  candidates[3].failure_score = 0.9;
  cr_assert(PlaceRequest(LongPrompt(7), candidates, kSpeed, 0.5, kNow)->id ==
            EndpointId("good"));
  // If there is no other endpoint, one of them is chosen.
  candidates.erase(candidates.begin());
  cr_assert(
      PlaceRequest(LongPrompt(7), candidates, kSpeed, 0.5, kNow).has_value());
}

Test(place_request, no_placement_without_a_free_connection) {
  std::vector<PlacementCandidate> candidates = {
      MakeCandidate("a", Proximity::kSamePlace)};
  candidates[0].has_no_free_connection = true;
  cr_assert(
      !PlaceRequest(LongPrompt(7), candidates, kSpeed, 0.5, kNow).has_value());
  cr_assert(!PlaceRequest(LongPrompt(7), {}, kSpeed, 0.5, kNow).has_value());
}

Test(place_request, a_plain_call_goes_to_the_least_busy_endpoint) {
  std::vector<PlacementCandidate> candidates = {
      MakeCandidate("busy", Proximity::kSamePlace),
      MakeCandidate("free", Proximity::kSamePlace)};
  for (PlacementCandidate& candidate : candidates) {
    candidate.load.slots = 6;
    candidate.load.cache_tokens = 0;
  }
  candidates[0].load.outstanding.requests = 6;
  cr_assert(
      PlaceRequest(PlacementRequest{}, candidates, kSpeed, 0.5, kNow)->id ==
      EndpointId("free"));
}
