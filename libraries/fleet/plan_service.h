#pragma once

#include <vector>

#include "fleet/offer.h"
#include "fleet/service_need.h"
#include "fleet/service_plan.h"

namespace pistachiowalk {

// Capacity that a plan lacks for one requirement.
struct PlanShortfall {
  double slots = 0.0;
  PlanRequirement requirement = PlanRequirement::kNormal;

  friend auto operator<=>(const PlanShortfall&, const PlanShortfall&) = default;
};

// Returns the requirement with the largest shortfall. When `vms` meets all,
// `slots` is not positive and `requirement` is the one with the least reserve.
PlanShortfall WorstShortfall(const ServiceNeed& need,
                             const std::vector<Offer>& offers,
                             const VmCounts& vms);

// Cost per hour of VMs, expected reclaims and cross-region traffic.
double HourlyCost(const ServiceNeed& need,
                  const std::vector<Offer>& offers,
                  const VmCounts& vms);

// Returns the cheapest plan that meets the need. Running VMs are replaced only
// when the saving pays for loading the new ones. `current` is the number of
// running VMs of each offer.
ServicePlan PlanService(const ServiceNeed& need,
                        const std::vector<Offer>& offers,
                        const VmCounts& current);

}  // namespace pistachiowalk
