#include "fleet/plan_service.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <random>
#include <string>

#include "support/criterion.h"

namespace pistachiowalk {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr double kTolerance = 1e-6;

std::vector<Offer> MakeOffers(size_t data_centers, std::mt19937_64& generator) {
  std::uniform_real_distribution<double> factor(0.7, 1.6);
  std::vector<Offer> offers;
  for (size_t i = 0; i < data_centers; ++i) {
    const std::string name = "dc-" + std::to_string(i);
    Offer offer{.place = PlaceName(name),
                .data_center = DataCenterName(name),
                .region = RegionName(name),
                .vm_class = VmClassName("reclaimable"),
                .is_reclaimable = true,
                .price_per_hour = 0.8 * factor(generator),
                .slots = 16,
                .maximum_vms = 1000};
    offers.push_back(offer);
    offer.vm_class = VmClassName("standard");
    offer.is_reclaimable = false;
    offer.price_per_hour = 2.4;
    offers.push_back(offer);
  }
  return offers;
}

ServiceNeed MakeNeed(double demand) {
  ServiceNeed need;
  need.service = ServiceName("guidance");
  need.demand_slots[RegionName("dc-0")] = demand;
  need.is_protected = true;
  need.queue_slack = std::chrono::seconds(40);
  need.replacement_time = std::chrono::seconds(100);
  return need;
}

// Oracle: removes each data centre, and the reclaimable VMs of each pair of
// data centres, and checks the remaining slots.
bool SurvivesAllLosses(const ServiceNeed& need,
                       const std::vector<Offer>& offers,
                       const VmCounts& vms) {
  const double demand = std::max(1.0, TotalDemand(need));
  const double sustained =
      demand * (1.0 - need.queue_slack.count() / need.replacement_time.count());
  const auto left = [&](auto is_lost) {
    double slots = 0.0;
    for (size_t i = 0; i < vms.size(); ++i) {
      slots += is_lost(offers[i]) ? 0.0 : vms[i] * offers[i].slots;
    }
    return slots + kTolerance;
  };
  for (const Offer& first : offers) {
    if (left([&](const Offer& offer) {
          return offer.data_center == first.data_center;
        }) < SurvivorSlots(need, demand)) {
      return false;
    }
    for (const Offer& second : offers) {
      if (left([&](const Offer& offer) {
            return offer.is_reclaimable &&
                   (offer.data_center == first.data_center ||
                    offer.data_center == second.data_center);
          }) < sustained) {
        return false;
      }
    }
  }
  return left([](const Offer&) { return false; }) >=
         demand / need.normal_utilisation;
}

// Oracle: cost of the cheapest plan with at most `limit` VMs of each offer.
double CheapestByExhaustiveSearch(const ServiceNeed& need,
                                  const std::vector<Offer>& offers,
                                  uint32_t limit) {
  VmCounts vms(offers.size());
  double cheapest = std::numeric_limits<double>::max();
  for (;;) {
    size_t digit = 0;
    while (digit < vms.size() && vms[digit] == limit) {
      vms[digit++] = 0;
    }
    if (digit == vms.size()) {
      return cheapest;
    }
    ++vms[digit];
    const double cost = HourlyCost(need, offers, vms);
    if (cost < cheapest && SurvivesAllLosses(need, offers, vms)) {
      cheapest = cost;
    }
  }
}

}  // namespace

Test(plan_service, every_plan_survives_every_loss_that_the_oracle_tries) {
  std::mt19937_64 generator(kSeed);
  for (int run = 0; run < 400; ++run) {
    const size_t data_centers = 3 + generator() % 5;
    const auto offers = MakeOffers(data_centers, generator);
    const ServiceNeed need =
        MakeNeed(std::uniform_real_distribution<double>(0, 500)(generator));
    const ServicePlan plan = PlanService(need, offers, VmCounts(offers.size()));
    cr_assert(plan.shortfall_slots <= kTolerance, "run %d", run);
    cr_assert(SurvivesAllLosses(need, offers, plan.vms), "run %d", run);
  }
}

Test(plan_service, the_oracle_detects_a_plan_short_of_one_vm) {
  std::mt19937_64 generator(kSeed);
  int detected = 0;
  int removed = 0;
  for (int run = 0; run < 100; ++run) {
    const auto offers = MakeOffers(3, generator);
    const ServiceNeed need = MakeNeed(100.0 + run);
    ServicePlan plan = PlanService(need, offers, VmCounts(offers.size()));
    for (uint32_t& count : plan.vms) {
      if (count > 0) {
        --count;
        ++removed;
        detected += SurvivesAllLosses(need, offers, plan.vms) ? 0 : 1;
        ++count;
      }
    }
  }
  // A plan has no surplus VM, so removing any one must fail the check.
  cr_assert(detected == removed, "%d of %d", detected, removed);
}

Test(plan_service, costs_at_most_a_quarter_more_than_exhaustive_search) {
  std::mt19937_64 generator(kSeed);
  for (int run = 0; run < 12; ++run) {
    const auto offers = MakeOffers(3, generator);
    const ServiceNeed need = MakeNeed(10.0 + 4.0 * run);
    const ServicePlan plan = PlanService(need, offers, VmCounts(offers.size()));
    const double cheapest = CheapestByExhaustiveSearch(need, offers, 4);
    cr_assert(plan.cost_per_hour <= cheapest * 1.25, "run %d: %f, best %f", run,
              plan.cost_per_hour, cheapest);
  }
}

Test(plan_service, uses_on_demand_only_when_reclaimable_is_unavailable) {
  std::mt19937_64 generator(kSeed);
  auto offers = MakeOffers(3, generator);
  const ServiceNeed need = MakeNeed(100.0);
  const auto on_demand = [&](const ServicePlan& plan) {
    uint32_t count = 0;
    for (size_t i = 0; i < offers.size(); ++i) {
      count += offers[i].is_reclaimable ? 0 : plan.vms[i];
    }
    return count;
  };
  const VmCounts none(offers.size());
  cr_assert(on_demand(PlanService(need, offers, none)) == 0);
  for (Offer& offer : offers) {
    offer.maximum_vms = offer.is_reclaimable ? 0 : 1000;
  }
  const ServicePlan plan = PlanService(need, offers, none);
  cr_assert(on_demand(plan) > 0);
  cr_assert(SurvivesAllLosses(need, offers, plan.vms));
}

Test(plan_service, reports_the_shortfall_when_no_vm_can_start) {
  std::mt19937_64 generator(kSeed);
  auto offers = MakeOffers(3, generator);
  for (Offer& offer : offers) {
    offer.maximum_vms = 0;
  }
  const ServicePlan plan =
      PlanService(MakeNeed(50.0), offers, VmCounts(offers.size()));
  cr_assert(plan.shortfall_slots >= 50.0);
}

Test(plan_service, keeps_running_vms_when_the_saving_is_small) {
  std::mt19937_64 generator(kSeed);
  auto offers = MakeOffers(4, generator);
  for (Offer& offer : offers) {
    offer.price_per_hour = offer.is_reclaimable ? 0.8 : 2.4;
  }
  const ServiceNeed need = MakeNeed(100.0);
  const VmCounts none(offers.size());
  offers[0].price_per_hour = 0.81;
  const ServicePlan before = PlanService(need, offers, none);
  offers[0].price_per_hour = 0.79;
  cr_assert(PlanService(need, offers, none).vms != before.vms);
  const ServicePlan after = PlanService(need, offers, before.vms);
  cr_assert(after.is_kept);
  cr_assert(after.vms == before.vms);
  offers[0].price_per_hour = 0.3;
  cr_assert(!PlanService(need, offers, before.vms).is_kept);
}

}  // namespace pistachiowalk
