#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>

#include "fleet/fleet_controller_core.h"

// Measures time and memory of planning at three sizes: measure_plan SEED.
namespace pistachiowalk {
namespace {

constexpr uint32_t kSlots = 16;
constexpr int kSteps = 12;

class NullAuditSink final : public AuditSink {
 public:
  void Record(const AuditRecord& /*record*/) override {}
};

std::vector<Offer> DrawOffers(size_t data_centers, std::mt19937_64& generator) {
  std::uniform_real_distribution<double> factor(0.7, 1.4);
  std::vector<Offer> offers;
  for (size_t i = 0; i < data_centers; ++i) {
    for (const bool is_reclaimable : {true, false}) {
      offers.push_back(Offer{
          .place = PlaceName(fmt::format("place-{}", i)),
          .data_center = DataCenterName(fmt::format("dc-{}", i)),
          .region = RegionName(fmt::format("region-{}", i % 7)),
          .vm_class = VmClassName(is_reclaimable ? "spot" : "standard"),
          .is_reclaimable = is_reclaimable,
          .price_per_hour = is_reclaimable ? 0.8 * factor(generator) : 2.4,
          .slots = kSlots});
    }
  }
  return offers;
}

void Measure(uint32_t workers, size_t data_centers, uint64_t seed) {
  std::mt19937_64 generator(seed);
  NullAuditSink audit;
  const size_t heap_before = mallinfo2().uordblks;
  ServiceNeed need;
  need.service = ServiceName("model");
  need.is_protected = true;
  need.queue_slack = std::chrono::seconds(40);
  FleetControllerCore core("measure", need, audit);
  const double demand = workers * kSlots * 0.7;
  TimePoint now{std::chrono::seconds(1000)};
  Duration longest{};
  Duration total{};
  for (int step = 0; step < kSteps; ++step) {
    now += std::chrono::seconds(10);
    core.SetOffers(DrawOffers(data_centers, generator));
    core.NoteDemand(RegionName("region-0"), demand, now);
    const auto begin = std::chrono::steady_clock::now();
    const FleetCommands commands = core.Step(now);
    const Duration elapsed = std::chrono::steady_clock::now() - begin;
    longest = std::max(longest, elapsed);
    total += elapsed;
    for (const FleetCommand& command : commands) {
      if (const auto* start = std::get_if<StartVm>(&command)) {
        core.NoteVmServing(start->id, now);
      }
    }
  }
  const auto milliseconds = [](Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
  };
  const std::string prefix = fmt::format("plan.{}_workers", workers);
  std::cout << fmt::format("{}.mean_ms: {:.3f} ms\n", prefix,
                           milliseconds(total) / kSteps)
            << fmt::format("{}.longest_ms: {:.3f} ms\n", prefix,
                           milliseconds(longest))
            << fmt::format("{}.state_bytes: {} bytes\n", prefix,
                           mallinfo2().uordblks - heap_before)
            << fmt::format("{}.vms: {} VMs\n", prefix, core.vms().size());
}

}  // namespace
}  // namespace pistachiowalk

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: measure_plan SEED\n";
    return 2;
  }
  const uint64_t seed = std::strtoull(argv[1], nullptr, 10);
  pistachiowalk::Measure(30, 3, seed);
  pistachiowalk::Measure(1000, 6, seed);
  pistachiowalk::Measure(10000, 18, seed);
  return 0;
}
