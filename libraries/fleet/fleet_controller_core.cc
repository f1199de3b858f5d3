#include "fleet/fleet_controller_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "fleet/plan_service.h"

namespace pistachiowalk {
namespace {

// Limit of the VMs of one service at one place and class when no back-off
// lowers it.
constexpr uint32_t kMaximumVmsOfOffer = 20000;
// A start is overdue after this many times the learned start time.
constexpr int kOverdueFactor = 3;
// A reclaim within this time after the VM began to serve counts as a failed
// start.
constexpr Duration kEarlyReclaimLimit = std::chrono::minutes(5);
// A draining VM is stopped after this time even with requests in flight.
constexpr Duration kDrainLimit = std::chrono::minutes(5);
constexpr double kSlotTolerance = 1e-6;

std::string FormatCounts(const VmCounts& counts,
                         const std::vector<Offer>& offers) {
  std::string text;
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      text += fmt::format("{}{}/{}={}", text.empty() ? "" : " ",
                          offers[i].place.value(), offers[i].vm_class.value(),
                          counts[i]);
    }
  }
  return text;
}

}  // namespace

FleetControllerCore::FleetControllerCore(std::string name,
                                         ServiceNeed need,
                                         AuditSink& audit)
    : m_name(std::move(name)), m_need(std::move(need)), m_audit(audit) {}

void FleetControllerCore::SetOffers(std::vector<Offer> offers) {
  m_offers = std::move(offers);
  m_offer_indices.clear();
  for (size_t i = 0; i < m_offers.size(); ++i) {
    m_offer_indices.emplace(
        std::make_pair(m_offers[i].place, m_offers[i].vm_class), i);
  }
}

void FleetControllerCore::NoteDemand(const RegionName& region,
                                     double slots,
                                     TimePoint now) {
  m_demand[region].Add(slots, now);
}

void FleetControllerCore::NoteVmServing(const VmId& vm, TimePoint now) {
  const auto it = m_vms.find(vm);
  if (it == m_vms.end() || it->second.state != FleetVmState::kStarting) {
    return;
  }
  FleetVm& record = it->second;
  m_history.NoteOutcome(record.place, record.vm_class, StartOutcome::kServing,
                        now - record.since, now);
  record.state = FleetVmState::kServing;
  record.is_overdue = false;
  record.since = now;
}

void FleetControllerCore::NoteStartRefused(const VmId& vm, TimePoint now) {
  const auto it = m_vms.find(vm);
  if (it == m_vms.end()) {
    return;
  }
  m_history.NoteOutcome(it->second.place, it->second.vm_class,
                        StartOutcome::kRefused, now - it->second.since, now);
  RecordVm(it->second, "start_refused", "the cloud refused the start");
  m_vms.erase(it);
}

void FleetControllerCore::NoteReclaimNotice(const VmId& vm, TimePoint now) {
  const auto it = m_vms.find(vm);
  if (it == m_vms.end() || it->second.state == FleetVmState::kLeaving) {
    return;
  }
  FleetVm& record = it->second;
  const bool is_early = record.state == FleetVmState::kStarting ||
                        now - record.since < kEarlyReclaimLimit;
  if (is_early) {
    m_history.NoteOutcome(record.place, record.vm_class,
                          StartOutcome::kReclaimedEarly, now - record.since,
                          now);
  }
  m_history.NoteReclaim(record.place, record.vm_class);
  record.state = FleetVmState::kLeaving;
  record.since = now;
  RecordVm(record, "reclaim_notice", is_early ? "shortly after the start" : "");
}

void FleetControllerCore::NoteVmGone(const VmId& vm, TimePoint now) {
  const auto it = m_vms.find(vm);
  if (it == m_vms.end()) {
    return;
  }
  if (it->second.state == FleetVmState::kServing) {
    NoteReclaimNotice(vm, now);
  }
  m_vms.erase(it);
}

void FleetControllerCore::NoteInFlight(const VmId& vm, uint32_t requests) {
  const auto it = m_vms.find(vm);
  if (it != m_vms.end()) {
    it->second.in_flight = requests;
  }
}

void FleetControllerCore::Adopt(const FleetVm& vm) {
  m_vms.emplace(vm.id, vm);
}

size_t FleetControllerCore::OfferOf(const FleetVm& vm) const {
  const auto it = m_offer_indices.find(std::make_pair(vm.place, vm.vm_class));
  return it == m_offer_indices.end() ? m_offers.size() : it->second;
}

VmCounts FleetControllerCore::CountVms(CountedVms counted) const {
  VmCounts counts(m_offers.size());
  for (const auto& [id, vm] : m_vms) {
    const bool is_serving = vm.state == FleetVmState::kServing;
    const bool is_awaited =
        vm.state == FleetVmState::kStarting && !vm.is_overdue;
    const size_t offer = OfferOf(vm);
    if (offer < counts.size() &&
        (is_serving || (is_awaited && counted == CountedVms::kPlannable))) {
      ++counts[offer];
    }
  }
  return counts;
}

void FleetControllerCore::MarkOverdueStarts(TimePoint now) {
  for (auto& [id, vm] : m_vms) {
    const Duration limit =
        m_history.StartTime(vm.place, vm.vm_class) * kOverdueFactor;
    if (vm.state == FleetVmState::kStarting && !vm.is_overdue &&
        now - vm.since > limit) {
      vm.is_overdue = true;
      m_history.NoteOutcome(vm.place, vm.vm_class, StartOutcome::kTooSlow,
                            now - vm.since, now);
      RecordVm(vm, "start_overdue", "replaced by another start");
    }
  }
}

void FleetControllerCore::UpdateOffers(TimePoint now) {
  const VmCounts current = CountVms(CountedVms::kPlannable);
  VmCounts pending(m_offers.size());
  for (const auto& [id, vm] : m_vms) {
    const size_t offer = OfferOf(vm);
    // NOTE: Overdue starts do not count as pending; otherwise they would block
    // new attempts at the same place.
    if (vm.state == FleetVmState::kStarting && !vm.is_overdue &&
        offer < pending.size()) {
      ++pending[offer];
    }
    if (vm.state == FleetVmState::kServing && m_last_step != TimePoint{}) {
      m_history.NoteServed(vm.place, vm.vm_class, now - m_last_step);
    }
  }
  for (size_t i = 0; i < m_offers.size(); ++i) {
    Offer& offer = m_offers[i];
    const uint32_t allowed =
        m_history.AllowedPendingStarts(offer.place, offer.vm_class, now);
    const uint32_t more = allowed > pending[i] ? allowed - pending[i] : 0;
    offer.maximum_vms = std::min(
        kMaximumVmsOfOffer, current[i] + std::min(more, kMaximumVmsOfOffer));
    offer.reclaims_per_hour =
        offer.is_reclaimable
            ? m_history.ReclaimsPerHour(offer.place, offer.vm_class)
            : 0.0;
  }
}

// The fastest start time of each data centre, and of those the slowest: after a
// loss, any of the remaining data centres may have to start the replacements.
Duration FleetControllerCore::ReplacementTime() const {
  std::map<DataCenterName, Duration> fastest;
  for (const Offer& offer : m_offers) {
    const Duration start = m_history.StartTime(offer.place, offer.vm_class);
    const auto [it, is_new] = fastest.emplace(offer.data_center, start);
    it->second = std::min(it->second, start);
  }
  Duration slowest{};
  for (const auto& [data_center, start] : fastest) {
    slowest = std::max(slowest, start);
  }
  return slowest;
}

void FleetControllerCore::UpdateNeed(TimePoint now) {
  const Duration lead = ReplacementTime();
  m_need.replacement_time = lead;
  m_need.demand_slots.clear();
  for (const auto& [region, window] : m_demand) {
    m_need.demand_slots[region] = window.Forecast(lead, now);
  }
}

void FleetControllerCore::Start(size_t offer,
                                TimePoint now,
                                FleetCommands& commands) {
  FleetVm vm;
  vm.id = VmId(fmt::format("{}-{}", m_name, ++m_last_start));
  vm.service = m_need.service;
  vm.place = m_offers[offer].place;
  vm.vm_class = m_offers[offer].vm_class;
  vm.since = now;
  commands.emplace_back(StartVm{.id = vm.id,
                                .service = vm.service,
                                .place = vm.place,
                                .vm_class = vm.vm_class});
  RecordVm(vm, "start", fmt::format("plan needs {} here", m_plan.vms[offer]));
  m_vms.emplace(vm.id, vm);
}

// VMs by offer in the order of removal: those that do not serve yet, then those
// with the fewest requests in flight.
std::vector<std::vector<VmId>> FleetControllerCore::RemovableVms() const {
  std::vector<std::vector<VmId>> removable(m_offers.size());
  for (const auto& [id, vm] : m_vms) {
    const size_t offer = OfferOf(vm);
    const bool is_removable =
        vm.state == FleetVmState::kServing ||
        (vm.state == FleetVmState::kStarting && !vm.is_overdue);
    if (is_removable && offer < removable.size()) {
      removable[offer].push_back(id);
    }
  }
  for (std::vector<VmId>& vms : removable) {
    std::stable_sort(vms.begin(), vms.end(),
                     [this](const VmId& a, const VmId& b) {
                       const FleetVm& first = m_vms.at(a);
                       const FleetVm& second = m_vms.at(b);
                       return std::make_pair(first.state, first.in_flight) <
                              std::make_pair(second.state, second.in_flight);
                     });
  }
  return removable;
}

void FleetControllerCore::RemoveSurplus(const std::vector<VmId>& removable,
                                        uint32_t surplus,
                                        VmCounts& serving,
                                        TimePoint now,
                                        FleetCommands& commands) {
  for (uint32_t i = 0; i < surplus && i < removable.size(); ++i) {
    FleetVm& vm = m_vms.at(removable[i]);
    if (vm.state == FleetVmState::kStarting) {
      RecordVm(vm, "stop", "not needed any more and not serving yet");
      commands.emplace_back(StopVm{.id = vm.id});
      m_vms.erase(removable[i]);
      continue;
    }
    // Its replacements must serve before it is drained.
    uint32_t& count = serving[OfferOf(vm)];
    --count;
    if (WorstShortfall(m_need, m_offers, serving).slots > kSlotTolerance) {
      ++count;
      return;
    }
    vm.state = FleetVmState::kDraining;
    vm.since = now;
    RecordVm(vm, "drain", "the plan needs fewer here");
    commands.emplace_back(DrainVm{.id = vm.id});
  }
}

void FleetControllerCore::StopDrained(TimePoint now, FleetCommands& commands) {
  for (auto it = m_vms.begin(); it != m_vms.end();) {
    const FleetVm& vm = it->second;
    const bool is_over = vm.state == FleetVmState::kDraining &&
                         (vm.in_flight == 0 || now - vm.since > kDrainLimit);
    if (!is_over) {
      ++it;
      continue;
    }
    RecordVm(vm, "stop",
             vm.in_flight == 0 ? "drained" : "drain limit exceeded");
    commands.emplace_back(StopVm{.id = vm.id});
    it = m_vms.erase(it);
  }
}

FleetCommands FleetControllerCore::Step(TimePoint now) {
  FleetCommands commands;
  StopDrained(now, commands);
  MarkOverdueStarts(now);
  UpdateOffers(now);
  UpdateNeed(now);
  m_last_step = now;
  const VmCounts current = CountVms(CountedVms::kPlannable);
  ServicePlan plan = PlanService(m_need, m_offers, current);
  if (plan.vms != m_plan.vms) {
    RecordPlan(plan);
  }
  m_plan = std::move(plan);
  VmCounts serving = CountVms(CountedVms::kServing);
  const std::vector<std::vector<VmId>> removable = RemovableVms();
  for (size_t i = 0; i < m_offers.size(); ++i) {
    for (uint32_t count = current[i]; count < m_plan.vms[i]; ++count) {
      Start(i, now, commands);
    }
    if (m_plan.vms[i] < current[i]) {
      RemoveSurplus(removable[i], current[i] - m_plan.vms[i], serving, now,
                    commands);
    }
  }
  return commands;
}

void FleetControllerCore::RecordPlan(const ServicePlan& plan) {
  const size_t offers = m_offers.size();
  m_audit.Record(AuditRecord{
      .actor = m_name,
      .subject = "plan/" + m_need.service.value(),
      .action = "changed",
      .reason =
          fmt::format("demand_slots={:.1f} deciding={} shortfall_slots={:.1f} "
                      "cost_per_hour={:.2f} kept_cost_per_hour={:.2f} kept={}",
                      TotalDemand(m_need), PlanRequirementName(plan.deciding),
                      plan.shortfall_slots, plan.cost_per_hour,
                      plan.kept_cost_per_hour, plan.is_kept),
      .before =
          m_plan.vms.size() == offers ? FormatCounts(m_plan.vms, m_offers) : "",
      .after = FormatCounts(plan.vms, m_offers)});
}

void FleetControllerCore::RecordVm(const FleetVm& vm,
                                   std::string action,
                                   std::string reason) {
  m_audit.Record(
      AuditRecord{.actor = m_name,
                  .subject = "vm/" + vm.id.value(),
                  .action = std::move(action),
                  .reason = std::move(reason),
                  .before = "",
                  .after = fmt::format("{} {}/{}", vm.service.value(),
                                       vm.place.value(), vm.vm_class.value())});
}

}  // namespace pistachiowalk
