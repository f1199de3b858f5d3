#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>

#include "bundle/bundle_parser.h"
#include "day.h"
#include "fake_cloud.h"
#include "policy.h"
#include "service_queue.h"

// Measures the policies that choose VMs over a day: measure_fleet SEED
// BUNDLE...
namespace pistachiowalk::measure {
namespace {

constexpr int kPolicyPeriodSeconds = 10;
constexpr int kStopDelaySeconds = 60;
constexpr double kForesightUtilisation = 0.92;
constexpr double kCrossRegionCostPerSlotHour = 0.002;

// The monotonic time that the policies see.
TimePoint TimeOf(int second) {
  return TimePoint(std::chrono::seconds(second + kWarmUpSeconds + 1));
}

// Keeps no records; the daemon's sink keeps the audit trail.
class NullAuditSink final : public AuditSink {
 public:
  void Record(const AuditRecord& /*record*/) override {}
};

// Figures of one policy, over the services of a deployment.
struct Figures {
  double cost = 0.0;
  uint64_t requests = 0;
  uint64_t met = 0;
  uint64_t recomputed_tokens = 0;
  uint64_t refused_starts_retried = 0;
  uint64_t protected_misses = 0;
};

// Whole-day run of one service under one policy.
class DaySimulation {
 public:
  DaySimulation(const Bundle& bundle,
                const Workload& workload,
                const Day& day,
                PolicyKind kind,
                uint64_t seed)
      : m_bundle(bundle),
        m_workload(workload),
        m_day(day),
        m_policy(MakePolicy(kind, bundle, workload, m_audit)),
        m_cloud(day, seed + 1),
        m_queue(workload, seed + 2) {}

  void Run(Figures& figures);

 private:
  std::vector<Offer> OffersAt(int second) const;
  void Apply(const FleetCommands& commands, int second);
  void ApplyCloudEvents(int second);
  uint32_t OpenSlots() const;
  void AddCrossRegionCost(double demand);
  size_t PlaceIndex(const PlaceName& place) const;

  NullAuditSink m_audit;
  const Bundle& m_bundle;
  const Workload& m_workload;
  const Day& m_day;
  std::unique_ptr<Policy> m_policy;
  FakeCloud m_cloud;
  ServiceQueue m_queue;
  // VMs that the policy drains and the time when they stop.
  std::map<VmId, int> m_draining;
  double m_cross_region_cost = 0.0;
};

std::vector<Offer> DaySimulation::OffersAt(int second) const {
  std::vector<Offer> offers;
  for (size_t place = 0; place < m_bundle.places.size(); ++place) {
    for (const VmClass& vm_class : m_bundle.vm_classes) {
      Offer offer;
      offer.place = m_bundle.places[place].name;
      offer.data_center = m_bundle.places[place].data_center;
      offer.region = m_bundle.places[place].region;
      offer.vm_class = vm_class.name;
      offer.is_reclaimable = vm_class.is_reclaimable;
      offer.slots = vm_class.slots;
      offer.price_per_hour =
          vm_class.price_per_hour *
          (vm_class.is_reclaimable ? m_day.PriceFactor(place, second) : 1.0);
      offers.push_back(offer);
    }
  }
  return offers;
}

size_t DaySimulation::PlaceIndex(const PlaceName& place) const {
  size_t index = 0;
  while (m_bundle.places[index].name != place) {
    ++index;
  }
  return index;
}

uint32_t DaySimulation::OpenSlots() const {
  uint32_t slots = 0;
  for (const auto& [id, vm] : m_cloud.vms()) {
    if (vm.is_serving && !vm.is_leaving && !m_draining.contains(id)) {
      slots += vm.slots;
    }
  }
  return slots;
}

void DaySimulation::Apply(const FleetCommands& commands, int second) {
  for (const FleetCommand& command : commands) {
    if (const auto* start = std::get_if<StartVm>(&command)) {
      m_cloud.Start(start->id, PlaceIndex(start->place),
                    *FindVmClass(m_bundle, start->vm_class), second);
    } else if (const auto* drain = std::get_if<DrainVm>(&command)) {
      const auto it = m_cloud.vms().find(drain->id);
      if (it == m_cloud.vms().end()) {
        continue;
      }
      if (it->second.is_serving) {
        m_queue.BeginDrain(it->second.slots, OpenSlots(),
                           second + kStopDelaySeconds);
      }
      m_draining[drain->id] = second + kStopDelaySeconds;
    } else if (const auto* stop = std::get_if<StopVm>(&command)) {
      m_draining.erase(stop->id);
      m_cloud.Stop(stop->id);
    }
  }
}

void DaySimulation::ApplyCloudEvents(int second) {
  const TimePoint now = TimeOf(second);
  const uint32_t slots_before = OpenSlots();
  for (const CloudEvent& event : m_cloud.Step(second)) {
    const bool is_draining = m_draining.contains(event.vm);
    const uint32_t vm_slots = m_bundle.vm_classes.front().slots;
    if (event.kind == CloudEvent::Kind::kNotice && !is_draining) {
      m_queue.BeginDrain(vm_slots, slots_before, second + kNoticeSeconds);
    } else if (event.kind == CloudEvent::Kind::kGone && !event.is_announced &&
               !is_draining) {
      m_queue.Lose(vm_slots, slots_before);
    }
    if (event.kind == CloudEvent::Kind::kGone) {
      m_draining.erase(event.vm);
    }
    m_policy->RecordEvent(event, now);
  }
}

void DaySimulation::AddCrossRegionCost(double demand) {
  const std::vector<double> shares = RegionShares(m_bundle.places.size());
  std::vector<double> capacity(shares.size());
  for (const auto& [id, vm] : m_cloud.vms()) {
    capacity[vm.place] += vm.is_serving ? vm.slots : 0;
  }
  double remote = 0.0;
  for (size_t i = 0; i < shares.size(); ++i) {
    remote += std::max(0.0, demand * shares[i] - capacity[i]);
  }
  m_cross_region_cost += remote * kCrossRegionCostPerSlotHour / 3600.0;
}

void DaySimulation::Run(Figures& figures) {
  QueueTotals before;
  double cost_before = 0.0;
  uint64_t retried_before = 0;
  for (int step = -kWarmUpSeconds; step < kSecondsPerDay; ++step) {
    const TimePoint now = TimeOf(step);
    if (step == 0) {
      before = m_queue.totals();
      cost_before = m_cloud.cost();
      retried_before = m_cloud.refused_starts_retried();
    }
    ApplyCloudEvents(step);
    const double demand = m_workload.peak_slots * m_day.Demand(step);
    m_queue.Step(demand, OpenSlots());
    AddCrossRegionCost(step < 0 ? 0.0 : demand);
    std::erase_if(m_draining, [&](const auto& draining) {
      if (step < draining.second) {
        return false;
      }
      m_cloud.Stop(draining.first);
      return true;
    });
    if (step % kPolicyPeriodSeconds == 0) {
      m_policy->RecordDemand(
          static_cast<double>(m_queue.running() + m_queue.queued()), now);
      m_policy->RecordInFlightPerVm(1);
      Apply(m_policy->Step(OffersAt(step), now), step);
    }
  }
  const QueueTotals& totals = m_queue.totals();
  figures.cost += m_cloud.cost() - cost_before + m_cross_region_cost;
  figures.requests += totals.requests - before.requests;
  figures.met += totals.met - before.met;
  figures.recomputed_tokens +=
      totals.recomputed_tokens - before.recomputed_tokens;
  figures.refused_starts_retried +=
      m_cloud.refused_starts_retried() - retried_before;
  if (m_workload.service.is_protected) {
    figures.protected_misses += totals.deadline_missed - before.deadline_missed;
  }
}

void Print(const std::string& deployment,
           std::string_view policy,
           const Figures& figures) {
  const std::string prefix = fmt::format("fleet.{}.{}", deployment, policy);
  const double share =
      figures.requests == 0
          ? 1.0
          : static_cast<double>(figures.met) / figures.requests;
  std::cout << fmt::format("{}.cost: {:.2f} money/day\n", prefix, figures.cost)
            << fmt::format("{}.deadline_met_share: {:.4f} share\n", prefix,
                           share)
            << fmt::format("{}.recomputed_tokens: {} tokens\n", prefix,
                           figures.recomputed_tokens)
            << fmt::format("{}.refused_starts_retried: {} starts\n", prefix,
                           figures.refused_starts_retried)
            << fmt::format("{}.protected_misses: {} requests\n", prefix,
                           figures.protected_misses);
}

// Lower bound of the cost: just enough VMs each minute at the cheapest place,
// as if starts took no time and reclaims were known in advance.
double PerfectForesightCost(const Bundle& bundle,
                            const Workload& workload,
                            const Day& day) {
  double cost = 0.0;
  for (int second = 0; second < kSecondsPerDay; second += 60) {
    double price = std::numeric_limits<double>::max();
    uint32_t slots = 1;
    for (const VmClass& vm_class : bundle.vm_classes) {
      for (size_t place = 0; place < day.places; ++place) {
        const double factor =
            vm_class.is_reclaimable ? day.PriceFactor(place, second) : 1.0;
        price = std::min(price, vm_class.price_per_hour * factor);
        slots = vm_class.slots;
      }
    }
    const double vms = std::ceil(workload.peak_slots * day.Demand(second) /
                                 kForesightUtilisation / slots);
    cost += vms * price / 60.0;
  }
  return cost;
}

void MeasureDeployment(const Bundle& bundle, uint64_t seed) {
  const std::string name =
      bundle.name == "rebozo" ? "association" : bundle.name;
  const Day day = DrawDay(bundle.places.size(), seed);
  const std::vector<Workload> workloads = WorkloadsOf(bundle);
  std::map<PolicyKind, Figures> all;
  for (const PolicyKind kind :
       {PolicyKind::kOnDemand, PolicyKind::kCheapestReclaimable,
        PolicyKind::kStaticSpread, PolicyKind::kPistachiowalk}) {
    for (const Workload& workload : workloads) {
      DaySimulation(bundle, workload, day, kind, seed).Run(all[kind]);
    }
    Print(name, PolicyName(kind), all[kind]);
  }
  Figures foresight;
  for (const Workload& workload : workloads) {
    foresight.cost += PerfectForesightCost(bundle, workload, day);
  }
  Print(name, "foresight", foresight);
  std::cout << fmt::format(
      "fleet.{}.pistachiowalk.cost_to_on_demand: {:.3f} ratio\n", name,
      all[PolicyKind::kPistachiowalk].cost / all[PolicyKind::kOnDemand].cost);
}

std::optional<Bundle> ReadBundle(const char* path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return ParseBundle(text.str()).bundle;
}

}  // namespace
}  // namespace pistachiowalk::measure

int main(int argc, char** argv) {
  using pistachiowalk::measure::MeasureDeployment;
  using pistachiowalk::measure::ReadBundle;
  if (argc < 3) {
    std::cerr << "usage: measure_fleet SEED BUNDLE...\n";
    return 2;
  }
  const uint64_t seed = std::strtoull(argv[1], nullptr, 10);
  for (int i = 2; i < argc; ++i) {
    const auto bundle = ReadBundle(argv[i]);
    if (!bundle) {
      std::cerr << "measure_fleet: " << argv[i] << " is not a bundle\n";
      return 1;
    }
    MeasureDeployment(*bundle, seed);
  }
  return 0;
}
