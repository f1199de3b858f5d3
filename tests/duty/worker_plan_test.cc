#include "duty/worker_plan.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

const ServiceName kChat("chat");
const DataCenterName kCheap("cheap");
const DataCenterName kMiddle("middle");
const DataCenterName kDear("dear");

ScalingSpec MakeScaling() {
  return ScalingSpec{.minimum = 1,
                     .maximum = 12,
                     .start_time = std::chrono::seconds(4),
                     .reclaimable_price_ratio = 0.22,
                     .prices = {{kCheap, 0.8}, {kMiddle, 1.0}, {kDear, 1.2}}};
}

WorkerSituation MakeSituation(double needed, uint32_t reclaimable) {
  WorkerSituation situation{.needed = needed};
  for (const DataCenterName& place : {kCheap, kMiddle, kDear}) {
    situation.workers[place] = WorkersAt{.reclaimable = reclaimable,
                                         .expected_reclaimable = reclaimable};
  }
  return situation;
}

uint32_t Ordered(const std::vector<WorkerOrder>& orders,
                 const DataCenterName& place,
                 bool is_reclaimable) {
  for (const WorkerOrder& order : orders) {
    if (order.data_center == place && order.is_reclaimable == is_reclaimable) {
      return order.count;
    }
  }
  return 0;
}

uint32_t OrderedInAll(const std::vector<WorkerOrder>& orders,
                      bool is_reclaimable) {
  uint32_t sum = 0;
  for (const WorkerOrder& order : orders) {
    sum += order.is_reclaimable == is_reclaimable ? order.count : 0;
  }
  return sum;
}

}  // namespace

Test(worker_plan, the_load_is_carried_when_a_data_centre_is_reclaimed) {
  const auto orders = PlanWorkers(kChat, MakeScaling(), MakeSituation(8.0, 8));
  for (const DataCenterName& lost : {kCheap, kMiddle, kDear}) {
    uint32_t left = 0;
    for (const DataCenterName& place : {kCheap, kMiddle, kDear}) {
      left += place == lost ? 0 : Ordered(orders, place, true);
    }
    cr_assert(left >= 8);
  }
}

Test(worker_plan, lasting_workers_are_ordered_only_for_what_is_lacking) {
  const auto calm = PlanWorkers(kChat, MakeScaling(), MakeSituation(6.0, 8));
  cr_assert(OrderedInAll(calm, false) == 0);
  WorkerSituation reclaimed = MakeSituation(6.0, 0);
  reclaimed.workers[kMiddle].expected_reclaimable = 4;
  const auto orders = PlanWorkers(kChat, MakeScaling(), reclaimed);
  const uint32_t lasting = OrderedInAll(orders, false);
  cr_assert(lasting + 4 >= 6);
  cr_assert(lasting <= 8);
}

Test(worker_plan, while_they_are_scarce_the_next_reclaim_is_prepared_for) {
  WorkerSituation situation = MakeSituation(6.0, 7);
  situation.workers[kCheap].expected_reclaimable = 0;
  situation.workers[kCheap].lacks_reclaimable = true;
  const auto one_gone = PlanWorkers(kChat, MakeScaling(), situation);
  cr_assert(OrderedInAll(one_gone, false) + 7 >= 6);
  situation.workers[kMiddle].expected_reclaimable = 0;
  situation.workers[kMiddle].lacks_reclaimable = true;
  const auto two_gone = PlanWorkers(kChat, MakeScaling(), situation);
  cr_assert(OrderedInAll(two_gone, false) >= 6);
}

Test(worker_plan, without_any_worker_or_load_the_minimum_stands) {
  const auto orders = PlanWorkers(kChat, MakeScaling(), MakeSituation(0.0, 0));
  for (const DataCenterName& place : {kCheap, kMiddle, kDear}) {
    cr_assert(Ordered(orders, place, true) >= 1);
    cr_assert(Ordered(orders, place, false) >= 1);
  }
}

Test(worker_plan, both_kinds_together_keep_within_the_maximum) {
  for (double needed = 0.0; needed < 80.0; needed += 3.0) {
    for (uint32_t expected = 0; expected <= 12; ++expected) {
      const auto orders =
          PlanWorkers(kChat, MakeScaling(), MakeSituation(needed, expected));
      for (const DataCenterName& place : {kCheap, kMiddle, kDear}) {
        const uint32_t standing =
            std::min(expected, Ordered(orders, place, true));
        cr_assert(standing + Ordered(orders, place, false) <= 12);
      }
    }
  }
}

Test(worker_plan, where_reclaimable_workers_are_no_bargain_none_are_ordered) {
  ScalingSpec scaling = MakeScaling();
  scaling.reclaimable_price_ratio = 0.9;
  const auto orders = PlanWorkers(kChat, scaling, MakeSituation(6.0, 0));
  cr_assert(OrderedInAll(orders, true) == 0);
  cr_assert(OrderedInAll(orders, false) >= 12);
}
