#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// The requirement that determines the size of a plan.
enum class PlanRequirement {
  // Capacity for the demand when nothing is lost.
  kNormal,
  // Capacity that remains when one data centre is lost.
  kOneLoss,
  // Capacity that remains when the reclaimable VMs of two data centres are
  // reclaimed before replacements serve. The queue may grow as far as deadlines
  // allow.
  kTwoReclaims,
};

constexpr std::string_view PlanRequirementName(PlanRequirement requirement) {
  switch (requirement) {
    case PlanRequirement::kNormal:
      return "normal";
    case PlanRequirement::kOneLoss:
      return "one-loss";
    case PlanRequirement::kTwoReclaims:
      return "two-reclaims";
  }
  return "normal";
}

// Number of VMs of each offer, in the order of the planner's offers.
using VmCounts = std::vector<uint32_t>;

// How many VMs of each offer a service should have, and which requirement
// decided it.
struct ServicePlan {
  ServiceName service;
  VmCounts vms;
  double cost_per_hour = 0.0;
  // Slots missing for the `deciding` requirement; 0 when the plan meets all.
  double shortfall_slots = 0.0;
  PlanRequirement deciding = PlanRequirement::kNormal;
  // Cost of the plan that keeps the running VMs, for comparison. With `is_kept`
  // that plan was chosen.
  double kept_cost_per_hour = 0.0;
  bool is_kept = false;

  friend auto operator<=>(const ServicePlan&, const ServicePlan&) = default;
};

}  // namespace pistachiowalk
