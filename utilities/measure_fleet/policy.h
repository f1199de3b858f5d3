#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "base/audit_sink.h"
#include "base/clock.h"
#include "day.h"
#include "fake_cloud.h"
#include "fleet/demand_window.h"
#include "fleet/fleet_command.h"

namespace pistachiowalk::measure {

// Decides the VMs of one service from the observed events and demand.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void RecordEvent(const CloudEvent& event, TimePoint now) = 0;
  virtual void RecordDemand(double slots, TimePoint now) = 0;
  virtual void RecordInFlightPerVm(uint32_t requests) = 0;
  // `offers` has the prices of the moment, by place and class.
  virtual FleetCommands Step(const std::vector<Offer>& offers,
                             TimePoint now) = 0;
};

enum class PolicyKind {
  kOnDemand,
  kCheapestReclaimable,
  kStaticSpread,
  kPistachiowalk,
};

std::string_view PolicyName(PolicyKind kind);

// Share of demand by region, in the order of the bundle's places.
std::vector<double> RegionShares(size_t regions);

std::unique_ptr<Policy> MakePolicy(PolicyKind kind,
                                   const Bundle& bundle,
                                   const Workload& workload,
                                   AuditSink& audit);

}  // namespace pistachiowalk::measure
