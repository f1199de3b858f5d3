#include "../../utilities/measure_orders/order_fuzz.h"

#include "support/criterion.h"

namespace pistachiowalk::measure {
namespace {

OrderFigures FuzzWithFault(InjectedFault fault, int runs) {
  OrderFigures sum;
  for (int run = 0; run < runs; ++run) {
    const OrderFigures figures = FuzzOrders(OrderFuzzOptions{
        .seed = 7000 + static_cast<uint64_t>(run), .fault = fault});
    sum.stale_applied_fenced += figures.stale_applied_fenced;
    sum.stale_unmended_unfenced += figures.stale_unmended_unfenced;
    sum.duplicate_effects += figures.duplicate_effects;
    sum.weight_store_over_limit += figures.weight_store_over_limit;
    sum.orders_applied += figures.orders_applied;
    sum.stale_applied_unfenced += figures.stale_applied_unfenced;
    sum.mended += figures.mended;
    sum.grants += figures.grants;
  }
  return sum;
}

constexpr int kRuns = 40;

}  // namespace

Test(order_fuzz, invariants_hold_under_pauses_lost_answers_and_outages) {
  const OrderFigures figures = FuzzWithFault(InjectedFault::kNone, kRuns);
  cr_assert(figures.stale_applied_fenced == 0);
  cr_assert(figures.stale_unmended_unfenced == 0);
  cr_assert(figures.duplicate_effects == 0);
  cr_assert(figures.weight_store_over_limit == 0);
  // The runs contained the cases that the checks above are for.
  cr_assert(figures.orders_applied > 1000);
  cr_assert(figures.stale_applied_unfenced > 0);
  cr_assert(figures.mended > 0);
}

// Guards against repeating an order that already took effect: its answer was
// lost, and a stale order overwrote it before the next read.
Test(order_fuzz, does_not_repeat_an_overwritten_order) {
  for (const uint64_t seed : {7749, 100651, 100799}) {
    const OrderFigures figures = FuzzOrders(OrderFuzzOptions{.seed = seed});
    cr_assert(figures.duplicate_effects == 0);
  }
}

Test(order_fuzz, the_oracle_detects_an_unchecked_fence) {
  cr_assert(FuzzWithFault(InjectedFault::kUncheckedFence, kRuns)
                .stale_applied_fenced > 0);
}

Test(order_fuzz, the_oracle_detects_a_holder_without_later_checks) {
  cr_assert(FuzzWithFault(InjectedFault::kNoVerification, kRuns)
                .stale_unmended_unfenced > 0);
}

Test(order_fuzz, the_oracle_detects_orders_repeated_without_a_read) {
  cr_assert(FuzzWithFault(InjectedFault::kRepeatWithoutRead, kRuns)
                .duplicate_effects > 0);
}

Test(order_fuzz, the_oracle_detects_loads_beyond_the_share) {
  cr_assert(FuzzWithFault(InjectedFault::kIgnoreShare, kRuns)
                .weight_store_over_limit > 0);
}

}  // namespace pistachiowalk::measure
