#pragma once

#include <cstdint>

#include "order_oracle.h"

namespace pistachiowalk::measure {

// A fault that a test injects to check that the oracle detects it.
enum class InjectedFault {
  kNone,
  // Endpoints that should reject stale orders accept them.
  kUncheckedFence,
  // A lease holder never reads an endpoint again once an order is in force.
  kNoVerification,
  // A lost order is repeated without a read while the first may still arrive.
  kRepeatWithoutRead,
  // Loads start without respecting the weight store's shares.
  kIgnoreShare,
};

struct OrderFuzzOptions {
  uint64_t seed = 1;
  int seconds = 600;
  InjectedFault fault = InjectedFault::kNone;
};

// Two data centres' leases, two contending nodes for each, endpoints that do
// and do not check stamps; pauses at any moment, suspended clocks, lost calls
// and answers, store outages, cut links, changing targets.
OrderFigures FuzzOrders(const OrderFuzzOptions& options);

}  // namespace pistachiowalk::measure
