#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

#include "order_fuzz.h"

// Fuzzes leases, orders and weight store shares: measure_orders SEED RUNS.
int main(int argc, char** argv) {
  using namespace pistachiowalk::measure;
  if (argc != 3) {
    std::cerr << "usage: measure_orders SEED RUNS\n";
    return 2;
  }
  const uint64_t seed = std::strtoull(argv[1], nullptr, 10);
  const uint64_t runs = std::strtoull(argv[2], nullptr, 10);
  OrderFigures sum;
  for (uint64_t run = 0; run < runs; ++run) {
    const OrderFigures figures =
        FuzzOrders(OrderFuzzOptions{.seed = seed * 1000003 + run});
    sum.stale_applied_fenced += figures.stale_applied_fenced;
    sum.stale_unmended_unfenced += figures.stale_unmended_unfenced;
    sum.duplicate_effects += figures.duplicate_effects;
    sum.weight_store_over_limit += figures.weight_store_over_limit;
    sum.orders_applied += figures.orders_applied;
    sum.stale_applied_unfenced += figures.stale_applied_unfenced;
    sum.mended += figures.mended;
    sum.grants += figures.grants;
  }
  const auto print = [](const char* key, uint64_t value, const char* unit) {
    std::cout << fmt::format("orders.{}: {} {}\n", key, value, unit);
  };
  print("stale_applied_fenced", sum.stale_applied_fenced, "orders");
  print("stale_unmended_unfenced", sum.stale_unmended_unfenced, "orders");
  print("duplicate_effects", sum.duplicate_effects, "effects");
  print("weight_store_over_limit", sum.weight_store_over_limit, "loads");
  print("applied", sum.orders_applied, "orders");
  print("stale_applied_unfenced", sum.stale_applied_unfenced, "orders");
  print("mended", sum.mended, "orders");
  print("lease_grants", sum.grants, "grants");
  return 0;
}
