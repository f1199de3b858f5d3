#include "memory/lone_gateway.h"
#include "memory/pipelining_crowd.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

using std::chrono::seconds;

constexpr size_t kMebibyte = 1024 * 1024;
constexpr LoneGatewayLimits kLimits{.memory_mebibytes = 32,
                                    .descriptors = 4100,
                                    .body_bytes = kMebibyte / 4};
constexpr size_t kClients = 200;
// Whole responses in sum are many times the machine's memory.
constexpr size_t kResponseBytes = 64 * 1024;
constexpr size_t kResponsesPerClient = 100;
// Refusals are short, so that it takes many.
constexpr size_t kRefusals = 2'000'000;
constexpr Duration kCrowdTime = seconds(6);

const std::string kUnknownHost =
    "GET / HTTP/1.1\r\nHost: unknown.example\r\n\r\n";
const std::string kCall = "GET /call/x HTTP/1.1\r\nHost: soak.example\r\n\r\n";

// The gateway lives, stays within its machine's memory and its descriptors, and
// answers an ordinary request while the crowd is connected and after it.
void CheckGateway(LoneGateway& gateway,
                  const SocketAddress& address,
                  const Pipeline& pipeline,
                  size_t clients) {
  const size_t calm_descriptors = gateway.process().OpenDescriptors();
  {
    const PipeliningCrowd crowd(gateway.loop(), address, pipeline, clients);
    gateway.RunUntil(
        [&] {
          return !gateway.IsRunning() ||
                 gateway.process().PeakResidentBytes() / kMebibyte >
                     kLimits.memory_mebibytes;
        },
        kCrowdTime);
    cr_assert(gateway.IsRunning(), "the process has ended");
    const size_t peak = gateway.process().PeakResidentBytes() / kMebibyte;
    cr_assert(peak <= kLimits.memory_mebibytes, "%zu of %u MiB", peak,
              kLimits.memory_mebibytes);
    const size_t descriptors = gateway.process().OpenDescriptors();
    cr_expect(descriptors < kLimits.descriptors, "%zu of %u", descriptors,
              kLimits.descriptors);
    gateway.endpoint().SetCallBytes(0);
    cr_expect_eq(gateway.Ask(100), 200);
    cr_expect_eq(gateway.CheckReadiness(), 200);
  }
  const size_t few_more = calm_descriptors + 64;
  cr_expect(gateway.RunUntil(
                [&] { return gateway.process().OpenDescriptors() < few_more; },
                seconds(10)),
            "%zu descriptors, %zu before", gateway.process().OpenDescriptors(),
            calm_descriptors);
  const int status = gateway.Ask(kLimits.body_bytes);
  cr_expect(status == 200, "status %d for a body of full size", status);
  cr_assert(gateway.IsRunning(), "the process has ended");
  const size_t peak = gateway.process().PeakResidentBytes() / kMebibyte;
  cr_expect(peak <= kLimits.memory_mebibytes, "%zu of %u MiB", peak,
            kLimits.memory_mebibytes);
}

void CheckCallers(const Pipeline& pipeline, size_t clients) {
  LoneGateway gateway(kLimits);
  gateway.endpoint().SetCallBytes(kResponseBytes);
  CheckGateway(gateway, gateway.callers(), pipeline, clients);
}

}  // namespace

Test(response_memory, refusals_that_one_client_leaves_unread) {
  CheckCallers({.request = kUnknownHost, .requests = kRefusals}, 1);
}

Test(response_memory, whole_responses_that_a_crowd_leaves_unread) {
  CheckCallers({.request = kCall, .requests = kResponsesPerClient}, kClients);
}

Test(response_memory, metrics_left_unread) {
  LoneGateway gateway(kLimits);
  CheckGateway(gateway, gateway.metrics(),
               {.request = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
                .requests = kRefusals / 100},
               1);
}

Test(response_memory, metrics_that_a_crowd_leaves_unread) {
  LoneGateway gateway(kLimits);
  CheckGateway(gateway, gateway.metrics(),
               {.request = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
                .requests = kRefusals / 100},
               kClients);
}

Test(response_memory, readiness_checks_left_unread) {
  LoneGateway gateway(kLimits);
  CheckGateway(gateway, gateway.readiness(),
               {.request = kUnknownHost, .requests = kRefusals}, 1);
}

Test(response_memory, refusals_on_the_peers_address_left_unread) {
  LoneGateway gateway(kLimits);
  CheckGateway(gateway, gateway.peers(),
               {.request = kUnknownHost, .requests = kRefusals}, 1);
}
