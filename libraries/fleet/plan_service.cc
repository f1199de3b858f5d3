#include "fleet/plan_service.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <optional>

namespace pistachiowalk {
namespace {

// Number of steps between the lowest and the highest cap on the slots of a data
// centre that the search tries.
constexpr size_t kCapSteps = 24;
// A saving must pay for loading the replacement VMs within this time.
constexpr double kPaybackHours = 2.0;
constexpr double kSlotTolerance = 1e-6;
constexpr double kMinimumDemandSlots = 1.0;

// Offers with their data centres and regions numbered, so that evaluating a
// plan compares no strings.
struct PlanContext {
  const ServiceNeed& need;
  const std::vector<Offer>& offers;
  std::vector<size_t> data_center_of;
  size_t data_centers = 0;
  std::vector<size_t> region_of;
  std::vector<double> region_demand;
  double demand = 0.0;
};

template <class Name>
size_t IndexOf(std::map<Name, size_t>& indices, const Name& name) {
  return indices.emplace(name, indices.size()).first->second;
}

PlanContext MakePlanContext(const ServiceNeed& need,
                            const std::vector<Offer>& offers) {
  PlanContext context{.need = need, .offers = offers};
  std::map<DataCenterName, size_t> data_centers;
  std::map<RegionName, size_t> regions;
  for (const Offer& offer : offers) {
    context.data_center_of.push_back(IndexOf(data_centers, offer.data_center));
    context.region_of.push_back(IndexOf(regions, offer.region));
  }
  context.data_centers = data_centers.size();
  for (const auto& [region, slots] : need.demand_slots) {
    const size_t index = IndexOf(regions, region);
    context.region_demand.resize(
        std::max(context.region_demand.size(), index + 1));
    context.region_demand[index] += slots;
  }
  context.region_demand.resize(regions.size());
  context.demand = std::max(TotalDemand(need), kMinimumDemandSlots);
  return context;
}

double SlotsOf(const PlanContext& context, const VmCounts& vms, size_t offer) {
  return static_cast<double>(vms[offer]) * context.offers[offer].slots;
}

// Capacity of a plan in slots, and what losses would remove from it.
struct Capacity {
  double total = 0.0;
  double largest_data_center = 0.0;
  double largest_two_reclaimable = 0.0;
};

Capacity MeasureCapacity(const PlanContext& context, const VmCounts& vms) {
  std::vector<double> all(context.data_centers);
  std::vector<double> reclaimable(context.data_centers);
  Capacity capacity;
  for (size_t i = 0; i < vms.size(); ++i) {
    const double slots = SlotsOf(context, vms, i);
    capacity.total += slots;
    all[context.data_center_of[i]] += slots;
    if (context.offers[i].is_reclaimable) {
      reclaimable[context.data_center_of[i]] += slots;
    }
  }
  double first = 0.0;
  double second = 0.0;
  for (size_t i = 0; i < context.data_centers; ++i) {
    capacity.largest_data_center =
        std::max(capacity.largest_data_center, all[i]);
    second = std::max(second, std::min(first, reclaimable[i]));
    first = std::max(first, reclaimable[i]);
  }
  capacity.largest_two_reclaimable = first + second;
  return capacity;
}

// Share of the demand that must be served while two data centres are being
// replaced, so that queued requests still meet their deadlines.
double SustainedShare(const ServiceNeed& need) {
  const double replacement = need.replacement_time.count();
  if (replacement <= 0.0) {
    return 0.0;
  }
  return std::clamp(1.0 - need.queue_slack.count() / replacement, 0.0, 1.0);
}

PlanShortfall FindShortfall(const PlanContext& context, const VmCounts& vms) {
  const ServiceNeed& need = context.need;
  const Capacity capacity = MeasureCapacity(context, vms);
  PlanShortfall worst{context.demand / need.normal_utilisation - capacity.total,
                      PlanRequirement::kNormal};
  const auto consider = [&worst](double slots, PlanRequirement requirement) {
    if (slots > worst.slots) {
      worst = PlanShortfall{slots, requirement};
    }
  };
  if (need.is_protected) {
    consider(SurvivorSlots(need, context.demand) -
                 (capacity.total - capacity.largest_data_center),
             PlanRequirement::kOneLoss);
    consider(context.demand * SustainedShare(need) -
                 (capacity.total - capacity.largest_two_reclaimable),
             PlanRequirement::kTwoReclaims);
  }
  return worst;
}

double CrossRegionCost(const PlanContext& context, const VmCounts& vms) {
  std::vector<double> capacity(context.region_demand.size());
  for (size_t i = 0; i < vms.size(); ++i) {
    capacity[context.region_of[i]] += SlotsOf(context, vms, i);
  }
  double remote = 0.0;
  for (size_t i = 0; i < capacity.size(); ++i) {
    remote += std::max(0.0, context.region_demand[i] - capacity[i]);
  }
  return remote * context.need.cross_region_cost_per_slot_hour;
}

// Price of one VM per hour, including the expected cost of its reclaims.
double EffectivePrice(const ServiceNeed& need, const Offer& offer) {
  return offer.price_per_hour + offer.reclaims_per_hour * need.reclaim_cost;
}

double CostOf(const PlanContext& context, const VmCounts& vms) {
  double cost = CrossRegionCost(context, vms);
  for (size_t i = 0; i < vms.size(); ++i) {
    cost += vms[i] * EffectivePrice(context.need, context.offers[i]);
  }
  return cost;
}

// Offers by price per slot; offers of the same price keep their order.
std::vector<size_t> OffersByPrice(const PlanContext& context) {
  std::vector<size_t> order(context.offers.size());
  std::iota(order.begin(), order.end(), 0);
  const auto price = [&context](size_t i) {
    return EffectivePrice(context.need, context.offers[i]) /
           context.offers[i].slots;
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t a, size_t b) { return price(a) < price(b); });
  return order;
}

// Slots that the cap leaves for an offer. The cap limits all VMs of a data
// centre; FillWithinThenAboveCap() goes above it only as a last resort.
double SlotsLeftUnderCap(const PlanContext& context,
                         const VmCounts& vms,
                         size_t offer,
                         double cap) {
  double used = 0.0;
  for (size_t i = 0; i < vms.size(); ++i) {
    if (context.data_center_of[i] == context.data_center_of[offer]) {
      used += SlotsOf(context, vms, i);
    }
  }
  return cap - used;
}

uint32_t VmsToAdd(const PlanContext& context,
                  const VmCounts& vms,
                  size_t offer,
                  double wanted_slots,
                  double cap) {
  const Offer& candidate = context.offers[offer];
  if (vms[offer] >= candidate.maximum_vms) {
    return 0;
  }
  const double slots_left = SlotsLeftUnderCap(context, vms, offer, cap);
  const double fitting =
      std::floor(slots_left / candidate.slots + kSlotTolerance);
  const double wanted = std::ceil(wanted_slots / candidate.slots);
  const double left = candidate.maximum_vms - vms[offer];
  return static_cast<uint32_t>(
      std::max(0.0, std::min({fitting, wanted, left})));
}

// Adds VMs in the given order of offers until the need is met or no offer is
// left.
void Fill(const PlanContext& context,
          const std::vector<size_t>& order,
          double cap,
          VmCounts& vms) {
  for (const size_t offer : order) {
    for (;;) {
      const PlanShortfall shortfall = FindShortfall(context, vms);
      if (shortfall.slots <= kSlotTolerance) {
        return;
      }
      const uint32_t added =
          VmsToAdd(context, vms, offer, shortfall.slots, cap);
      if (added == 0) {
        break;
      }
      vms[offer] += added;
    }
  }
}

// Removes surplus VMs, the most expensive offers first.
void Trim(const PlanContext& context,
          const std::vector<size_t>& order,
          VmCounts& vms) {
  for (auto it = order.rbegin(); it != order.rend(); ++it) {
    uint32_t step = std::bit_ceil(vms[*it] + 1);
    while (step > 0) {
      if (vms[*it] >= step) {
        vms[*it] -= step;
        if (FindShortfall(context, vms).slots > kSlotTolerance) {
          vms[*it] += step;
        }
      }
      step /= 2;
    }
  }
}

// A candidate plan with its cost and shortfall.
struct Candidate {
  VmCounts vms;
  double cost = 0.0;
  PlanShortfall shortfall;
};

Candidate Evaluate(const PlanContext& context, VmCounts vms) {
  Candidate candidate;
  candidate.cost = CostOf(context, vms);
  candidate.shortfall = FindShortfall(context, vms);
  candidate.vms = std::move(vms);
  return candidate;
}

// Whether `a` has a smaller shortfall, or the same shortfall at a lower cost.
bool IsBetter(const Candidate& a, const Candidate& b) {
  const double shortfall_a = std::max(0.0, a.shortfall.slots);
  const double shortfall_b = std::max(0.0, b.shortfall.slots);
  if (std::abs(shortfall_a - shortfall_b) > kSlotTolerance) {
    return shortfall_a < shortfall_b;
  }
  return a.cost < b.cost;
}

// Fills up to the cap. What is still short is filled above it, on-demand VMs
// first.
void FillWithinThenAboveCap(const PlanContext& context,
                            const std::vector<size_t>& order,
                            double cap,
                            VmCounts& vms) {
  Fill(context, order, cap, vms);
  std::vector<size_t> on_demand;
  std::copy_if(order.begin(), order.end(), std::back_inserter(on_demand),
               [&](size_t i) { return !context.offers[i].is_reclaimable; });
  Fill(context, on_demand, context.demand / context.need.normal_utilisation * 4,
       vms);
  // NOTE: In rare cases all on-demand starts are refused as well.
  Fill(context, order, context.demand / context.need.normal_utilisation * 4,
       vms);
}

Candidate BestNewPlan(const PlanContext& context,
                      const std::vector<size_t>& order) {
  const double survivors = SurvivorSlots(context.need, context.demand);
  const double highest_cap =
      std::max(context.demand / context.need.normal_utilisation, survivors);
  const double lowest_cap =
      survivors /
      static_cast<double>(std::max<size_t>(context.data_centers, 2) - 1);
  uint32_t largest_slots = 1;
  for (const Offer& offer : context.offers) {
    largest_slots = std::max(largest_slots, offer.slots);
  }
  std::optional<Candidate> best;
  for (size_t i = 0; i <= kCapSteps; ++i) {
    const double share = static_cast<double>(i) / kCapSteps;
    const double cap =
        lowest_cap + (highest_cap + largest_slots - lowest_cap) * share;
    VmCounts vms(context.offers.size());
    FillWithinThenAboveCap(context, order, cap, vms);
    Trim(context, order, vms);
    Candidate candidate = Evaluate(context, std::move(vms));
    if (!best || IsBetter(candidate, *best)) {
      best = std::move(candidate);
    }
  }
  return *best;
}

// The running VMs, with missing ones added and surplus ones removed.
Candidate KeepCurrent(const PlanContext& context,
                      const std::vector<size_t>& order,
                      VmCounts vms,
                      double cap) {
  FillWithinThenAboveCap(context, order, cap, vms);
  Trim(context, order, vms);
  return Evaluate(context, std::move(vms));
}

// Cost of loading the VMs that are in `to` but not in `from`.
double ExchangeCost(const PlanContext& context,
                    const VmCounts& from,
                    const VmCounts& to) {
  const double hours = std::chrono::duration<double, std::ratio<3600>>(
                           context.need.replacement_time)
                           .count();
  double cost = 0.0;
  for (size_t i = 0; i < to.size(); ++i) {
    if (to[i] > from[i]) {
      cost += (to[i] - from[i]) * (context.offers[i].price_per_hour * hours +
                                   context.need.reclaim_cost);
    }
  }
  return cost;
}

double LargestDataCenter(const PlanContext& context, const VmCounts& vms) {
  return MeasureCapacity(context, vms).largest_data_center;
}

}  // namespace

double SurvivorSlots(const ServiceNeed& need, double demand_slots) {
  return demand_slots + need.survivor_margin * std::sqrt(demand_slots);
}

double TotalDemand(const ServiceNeed& need) {
  double total = 0.0;
  for (const auto& [region, slots] : need.demand_slots) {
    total += slots;
  }
  return total;
}

PlanShortfall WorstShortfall(const ServiceNeed& need,
                             const std::vector<Offer>& offers,
                             const VmCounts& vms) {
  return FindShortfall(MakePlanContext(need, offers), vms);
}

double HourlyCost(const ServiceNeed& need,
                  const std::vector<Offer>& offers,
                  const VmCounts& vms) {
  return CostOf(MakePlanContext(need, offers), vms);
}

ServicePlan PlanService(const ServiceNeed& need,
                        const std::vector<Offer>& offers,
                        const VmCounts& current) {
  const PlanContext context = MakePlanContext(need, offers);
  const std::vector<size_t> order = OffersByPrice(context);
  Candidate new_plan = BestNewPlan(context, order);
  Candidate kept_plan = KeepCurrent(context, order, current,
                                    LargestDataCenter(context, new_plan.vms));
  const double added_exchange_cost =
      ExchangeCost(context, current, new_plan.vms) -
      ExchangeCost(context, current, kept_plan.vms);
  Candidate amortised_plan = new_plan;
  amortised_plan.cost += added_exchange_cost / kPaybackHours;
  const bool is_kept = !IsBetter(amortised_plan, kept_plan);
  Candidate& chosen = is_kept ? kept_plan : new_plan;
  return ServicePlan{.service = need.service,
                     .vms = std::move(chosen.vms),
                     .cost_per_hour = chosen.cost,
                     .shortfall_slots = std::max(0.0, chosen.shortfall.slots),
                     .deciding = chosen.shortfall.requirement,
                     .kept_cost_per_hour = kept_plan.cost,
                     .is_kept = is_kept};
}

}  // namespace pistachiowalk
