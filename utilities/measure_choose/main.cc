#include <malloc.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "routing/choose_endpoint.h"

// Measures the time and memory of choosing an endpoint by the number of
// endpoints.
namespace pistachiowalk::measure {
namespace {

constexpr std::array<size_t, 3> kEndpointCounts{20, 600, 10000};
constexpr size_t kChoices = 20000;
constexpr size_t kPrompts = 500;
const ServiceName kService("model");

std::vector<Endpoint> MakeEndpoints(size_t count) {
  std::vector<Endpoint> endpoints;
  for (size_t i = 0; i < count; ++i) {
    endpoints.push_back(Endpoint{.id = EndpointId("vm" + std::to_string(i)),
                                 .vm = VmId("vm" + std::to_string(i)),
                                 .address = "10.0.0.1",
                                 .port = 8000,
                                 .place = PlaceName("place"),
                                 .service = kService});
  }
  return endpoints;
}

void FillFacts(EndpointTable& table, size_t count, TimePoint now) {
  for (size_t i = 0; i < count; ++i) {
    const EndpointId id("vm" + std::to_string(i));
    // One endpoint in twenty is in the node's own place, a tenth in its region.
    const Proximity proximity = i % 20 == 0  ? Proximity::kSamePlace
                                : i % 20 < 3 ? Proximity::kSameRegion
                                             : Proximity::kCrossRegion;
    table.SetAttributes(id,
                        {.proximity = proximity, .is_reclaimable = i % 5 < 3});
    table.ApplyReport(
        id, {.sampled_at = now, .running = static_cast<uint32_t>(i % 16)});
  }
}

RouteRequest MakeRequest(uint64_t prompt) {
  RouteRequest request;
  request.service = kService;
  request.expected_output_tokens = 200;
  request.prompt = {{.hash = 1, .tokens = 500},
                    {.hash = 2 * prompt + 10, .tokens = 800},
                    {.hash = 2 * prompt + 11, .tokens = 200}};
  return request;
}

void Measure(size_t count, uint64_t seed) {
  const TimePoint now{std::chrono::hours(1)};
  const std::vector<Endpoint> endpoints = MakeEndpoints(count);
  const size_t bytes_before = mallinfo2().uordblks;
  EndpointTable table;
  PrefixIndex prefixes;
  table.ApplyVmList(endpoints, now);
  FillFacts(table, count, now);
  const size_t bytes = mallinfo2().uordblks - bytes_before;
  std::mt19937_64 generator(seed);
  for (uint64_t prompt = 0; prompt < kPrompts; ++prompt) {
    const std::string holder = "vm" + std::to_string(generator() % count);
    prefixes.RecordSend(EndpointKey(holder), MakeRequest(prompt).prompt, now);
  }
  const RouteContext context{
      .endpoints = table, .prefixes = prefixes, .now = now};
  size_t found = 0;
  const auto start = std::chrono::steady_clock::now();
  for (size_t i = 0; i < kChoices; ++i) {
    const RouteRequest request = MakeRequest(generator() % kPrompts);
    found += ChooseEndpoint(request, context, generator).has_value() ? 1 : 0;
  }
  const std::chrono::duration<double, std::nano> spent =
      std::chrono::steady_clock::now() - start;
  if (found != kChoices) {
    std::exit(1);
  }
  std::printf("choose.%zu.time: %.0f ns\n", count, spent.count() / kChoices);
  std::printf("choose.%zu.bytes: %zu bytes\n", count, bytes);
  std::printf("choose.%zu.bytes_per_endpoint: %zu bytes\n", count,
              bytes / count);
}

}  // namespace
}  // namespace pistachiowalk::measure

int main(int argc, char** argv) {
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  for (const size_t count : pistachiowalk::measure::kEndpointCounts) {
    pistachiowalk::measure::Measure(count, seed);
  }
  return 0;
}
