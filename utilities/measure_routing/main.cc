#include <cstdio>
#include <cstdlib>

#include "trace_simulator.h"

namespace pistachiowalk::measure {
namespace {

constexpr double kSeconds = 420.0;

void Print(const std::string& deployment,
           const std::string& policy,
           const RoutingFigures& figures) {
  const std::string prefix = "routing." + deployment + "." + policy;
  const char* name = prefix.c_str();
  std::printf("%s.cost_per_million_tokens: %.4f price\n", name,
              figures.cost_per_million_tokens);
  std::printf("%s.recomputed_tokens: %lu tokens\n", name,
              figures.recomputed_tokens);
  std::printf("%s.ttft_p95_ms: %.0f ms\n", name, figures.ttft_p95_ms);
  std::printf("%s.itl_p95_ms: %.0f ms\n", name, figures.itl_p95_ms);
  std::printf("%s.deadline_met_share: %.4f share\n", name,
              figures.deadline_met_share);
  std::printf("%s.cross_region_bytes: %lu bytes\n", name,
              figures.cross_region_bytes);
}

void Measure(const Deployment& deployment, uint64_t seed) {
  for (const NamedPolicy& policy : AllPolicies()) {
    TraceSimulator simulator(deployment, policy.policy, seed, kSeconds);
    Print(deployment.name, policy.name, simulator.Run());
  }
}

}  // namespace
}  // namespace pistachiowalk::measure

// Simulates both deployments' traces under all policies.
int main(int argc, char** argv) {
  using namespace pistachiowalk::measure;
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  Measure(MakeAssociation(seed, kSeconds), seed);
  Measure(MakeVltavice(seed, kSeconds), seed);
  return 0;
}
