#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/audit_sink.h"
#include "base/clock.h"
#include "fleet/demand_window.h"
#include "fleet/fleet_command.h"
#include "fleet/fleet_vm.h"
#include "fleet/offer.h"
#include "fleet/service_need.h"
#include "fleet/service_plan.h"
#include "fleet/start_history.h"

namespace pistachiowalk {

// Keeps the VMs of one service at the cheapest plan that meets its need. Takes
// events and the time and returns commands; it does no I/O. Every change of the
// plan and every command is recorded in the audit sink.
class FleetControllerCore {
 public:
  // `name` prefixes the ids of started VMs and so makes them unique among
  // controllers. `need` holds all requirements except the demand, which comes
  // from NoteDemand().
  FleetControllerCore(std::string name, ServiceNeed need, AuditSink& audit);

  // Sets the offers at their current prices. The controller overwrites their
  // VM limits and reclaim rates with learned values.
  void SetOffers(std::vector<Offer> offers);
  void NoteDemand(const RegionName& region, double slots, TimePoint now);
  void NoteVmServing(const VmId& vm, TimePoint now);
  void NoteStartRefused(const VmId& vm, TimePoint now);
  void NoteReclaimNotice(const VmId& vm, TimePoint now);
  // The VM no longer exists, whether or not a notice came first.
  void NoteVmGone(const VmId& vm, TimePoint now);
  void NoteInFlight(const VmId& vm, uint32_t requests);
  // Starts to track a VM that another lease holder started.
  void Adopt(const FleetVm& vm);
  FleetCommands Step(TimePoint now);

  const std::map<VmId, FleetVm>& vms() const { return m_vms; }
  const ServicePlan& plan() const { return m_plan; }
  const StartHistory& history() const { return m_history; }

 private:
  enum class CountedVms { kPlannable, kServing };

  VmCounts CountVms(CountedVms counted) const;
  size_t OfferOf(const FleetVm& vm) const;
  void UpdateOffers(TimePoint now);
  void MarkOverdueStarts(TimePoint now);
  Duration ReplacementTime() const;
  void UpdateNeed(TimePoint now);
  void Start(size_t offer, TimePoint now, FleetCommands& commands);
  std::vector<std::vector<VmId>> RemovableVms() const;
  void RemoveSurplus(const std::vector<VmId>& removable,
                     uint32_t surplus,
                     VmCounts& serving,
                     TimePoint now,
                     FleetCommands& commands);
  void StopDrained(TimePoint now, FleetCommands& commands);
  void RecordPlan(const ServicePlan& plan);
  void RecordVm(const FleetVm& vm, std::string action, std::string reason);

  std::string m_name;
  ServiceNeed m_need;
  AuditSink& m_audit;
  std::vector<Offer> m_offers;
  std::map<std::pair<PlaceName, VmClassName>, size_t> m_offer_indices;
  std::map<RegionName, DemandWindow> m_demand;
  std::map<VmId, FleetVm> m_vms;
  StartHistory m_history;
  ServicePlan m_plan;
  uint64_t m_last_start = 0;
  TimePoint m_last_step{};
};

}  // namespace pistachiowalk
