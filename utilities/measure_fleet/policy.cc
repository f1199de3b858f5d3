#include "policy.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "fleet/fleet_controller_core.h"

namespace pistachiowalk::measure {
namespace {

constexpr double kUtilisation = 0.7;
constexpr Duration kForecastLeadTime = std::chrono::seconds(120);
constexpr double kMoneyPerToken = 2e-6;
constexpr double kCrossRegionCostPerSlotHour = 0.002;

// The policy of the library's FleetControllerCore.
class ControllerPolicy final : public Policy {
 public:
  ControllerPolicy(const Bundle& bundle,
                   const Workload& workload,
                   AuditSink& audit)
      : m_bundle(bundle), m_core("fleet", NeedOf(workload), audit) {}

  void RecordEvent(const CloudEvent& event, TimePoint now) override {
    switch (event.kind) {
      case CloudEvent::Kind::kServing:
        return m_core.NoteVmServing(event.vm, now);
      case CloudEvent::Kind::kRefused:
        return m_core.NoteStartRefused(event.vm, now);
      case CloudEvent::Kind::kNotice:
        return m_core.NoteReclaimNotice(event.vm, now);
      case CloudEvent::Kind::kGone:
        return m_core.NoteVmGone(event.vm, now);
    }
  }
  void RecordDemand(double slots, TimePoint now) override {
    const std::vector<double> shares = RegionShares(m_bundle.places.size());
    for (size_t i = 0; i < shares.size(); ++i) {
      m_core.NoteDemand(m_bundle.places[i].region, slots * shares[i], now);
    }
  }
  void RecordInFlightPerVm(uint32_t requests) override {
    for (const auto& [id, vm] : m_core.vms()) {
      m_core.NoteInFlight(id, requests);
    }
  }
  FleetCommands Step(const std::vector<Offer>& offers, TimePoint now) override {
    m_core.SetOffers(offers);
    return m_core.Step(now);
  }

 private:
  static ServiceNeed NeedOf(const Workload& workload) {
    ServiceNeed need;
    need.service = workload.service.name;
    need.is_protected = workload.service.is_protected;
    need.normal_utilisation = kUtilisation;
    need.queue_slack =
        std::chrono::duration<double>(workload.service.deadline) -
        std::chrono::duration<double>(3 * workload.service_time_s);
    need.reclaim_cost = workload.service.recompute_weight * kMoneyPerToken *
                        workload.cached_tokens;
    need.cross_region_cost_per_slot_hour = kCrossRegionCostPerSlotHour;
    return need;
  }

  const Bundle& m_bundle;
  FleetControllerCore m_core;
};

// Base of the simple policies, which keep a target count of each offer and
// retry refused starts.
class TargetCountPolicy : public Policy {
 public:
  explicit TargetCountPolicy(std::string name) : m_name(std::move(name)) {}

  void RecordEvent(const CloudEvent& event, TimePoint /*now*/) override {
    if (event.kind == CloudEvent::Kind::kServing) {
      m_serving[event.vm] = true;
    } else {
      m_vms.erase(event.vm);
      m_serving.erase(event.vm);
    }
  }
  void RecordDemand(double slots, TimePoint now) override {
    m_window.Add(slots, now);
  }
  void RecordInFlightPerVm(uint32_t /*requests*/) override {}
  FleetCommands Step(const std::vector<Offer>& offers, TimePoint now) override {
    const std::vector<uint32_t> targets = TargetCounts(offers, now);
    FleetCommands commands;
    bool is_short = false;
    for (size_t i = 0; i < offers.size(); ++i) {
      const auto existing = static_cast<uint32_t>(
          std::count_if(m_vms.begin(), m_vms.end(),
                        [i](const auto& vm) { return vm.second == i; }));
      for (uint32_t count = existing; count < targets[i]; ++count) {
        const VmId id(fmt::format("{}-{}", m_name, ++m_last));
        m_vms.emplace(id, i);
        commands.emplace_back(StartVm{.id = id,
                                      .place = offers[i].place,
                                      .vm_class = offers[i].vm_class});
      }
    }
    for (const auto& [id, offer] : m_vms) {
      is_short = is_short || !m_serving.contains(id);
    }
    if (!is_short) {
      StopSurplus(targets, commands);
    }
    return commands;
  }

 protected:
  virtual std::vector<uint32_t> TargetCounts(const std::vector<Offer>& offers,
                                             TimePoint now) = 0;
  uint32_t VmsForDemand(uint32_t slots, TimePoint now) const {
    return static_cast<uint32_t>(
        std::ceil(std::max(1.0, m_window.Forecast(kForecastLeadTime, now)) /
                  kUtilisation / slots));
  }

 private:
  void StopSurplus(std::vector<uint32_t> targets, FleetCommands& commands) {
    for (auto it = m_vms.begin(); it != m_vms.end();) {
      if (targets[it->second] > 0) {
        --targets[it->second];
        ++it;
        continue;
      }
      commands.emplace_back(DrainVm{.id = it->first});
      m_serving.erase(it->first);
      it = m_vms.erase(it);
    }
  }

  std::string m_name;
  DemandWindow m_window;
  std::map<VmId, size_t> m_vms;
  std::map<VmId, bool> m_serving;
  uint64_t m_last = 0;
};

class OnDemandPolicy final : public TargetCountPolicy {
 public:
  OnDemandPolicy() : TargetCountPolicy("on-demand") {}

 protected:
  std::vector<uint32_t> TargetCounts(const std::vector<Offer>& offers,
                                     TimePoint now) override {
    std::vector<uint32_t> targets(offers.size());
    std::vector<size_t> usable;
    for (size_t i = 0; i < offers.size(); ++i) {
      if (!offers[i].is_reclaimable) {
        usable.push_back(i);
      }
    }
    // At least one per place.
    const uint32_t count =
        std::max<uint32_t>(VmsForDemand(offers[usable[0]].slots, now),
                           static_cast<uint32_t>(usable.size()));
    for (uint32_t i = 0; i < count; ++i) {
      ++targets[usable[i % usable.size()]];
    }
    return targets;
  }
};

class CheapestPolicy final : public TargetCountPolicy {
 public:
  CheapestPolicy() : TargetCountPolicy("cheapest") {}

 protected:
  std::vector<uint32_t> TargetCounts(const std::vector<Offer>& offers,
                                     TimePoint now) override {
    constexpr Duration kRechoicePeriod = std::chrono::hours(1);
    if (m_chosen >= offers.size() || now - m_chosen_at > kRechoicePeriod) {
      m_chosen = static_cast<size_t>(
          std::min_element(offers.begin(), offers.end(),
                           [](const Offer& a, const Offer& b) {
                             return a.price_per_hour < b.price_per_hour;
                           }) -
          offers.begin());
      m_chosen_at = now;
    }
    std::vector<uint32_t> targets(offers.size());
    targets[m_chosen] = VmsForDemand(offers[m_chosen].slots, now);
    return targets;
  }

 private:
  size_t m_chosen = SIZE_MAX;
  TimePoint m_chosen_at{};
};

class StaticSpreadPolicy final : public TargetCountPolicy {
 public:
  explicit StaticSpreadPolicy(uint32_t vms)
      : TargetCountPolicy("static"), m_count(vms) {}

 protected:
  std::vector<uint32_t> TargetCounts(const std::vector<Offer>& offers,
                                     TimePoint /*now*/) override {
    std::vector<uint32_t> targets(offers.size());
    for (uint32_t placed = 0; placed < m_count;) {
      for (size_t i = 0; i < offers.size() && placed < m_count; ++i) {
        if (offers[i].is_reclaimable) {
          ++targets[i];
          ++placed;
        }
      }
    }
    return targets;
  }

 private:
  uint32_t m_count;
};

}  // namespace

std::string_view PolicyName(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kOnDemand:
      return "on_demand";
    case PolicyKind::kCheapestReclaimable:
      return "cheapest_reclaimable";
    case PolicyKind::kStaticSpread:
      return "static_spread";
    case PolicyKind::kPistachiowalk:
      return "pistachiowalk";
  }
  return "";
}

std::vector<double> RegionShares(size_t regions) {
  // The first region is the largest.
  std::vector<double> shares(regions, 1.0);
  shares[0] = 2.0;
  for (double& share : shares) {
    share /= static_cast<double>(regions) + 1.0;
  }
  return shares;
}

std::unique_ptr<Policy> MakePolicy(PolicyKind kind,
                                   const Bundle& bundle,
                                   const Workload& workload,
                                   AuditSink& audit) {
  switch (kind) {
    case PolicyKind::kOnDemand:
      return std::make_unique<OnDemandPolicy>();
    case PolicyKind::kCheapestReclaimable:
      return std::make_unique<CheapestPolicy>();
    case PolicyKind::kStaticSpread:
      return std::make_unique<StaticSpreadPolicy>(workload.static_vms);
    case PolicyKind::kPistachiowalk:
      return std::make_unique<ControllerPolicy>(bundle, workload, audit);
  }
  return nullptr;
}

}  // namespace pistachiowalk::measure
