#pragma once

#include <map>

#include "fleet/order.h"

namespace pistachiowalk::stand_in {

enum class FencingCheck { kRejectsStaleOrders, kAcceptsStaleOrders };

// An endpoint's handling of orders (docs/interfaces/orders.md).
class OrderEndpoint {
 public:
  explicit OrderEndpoint(FencingCheck check) : m_check(check) {}

  // An order for the target that is already in force has no effect.
  OrderAnswer Apply(const Order& order);
  FacetState StateOf(OrderFacet facet) const;
  uint64_t effects() const { return m_effects; }

 private:
  FencingCheck m_check;
  std::map<OrderFacet, FacetState> m_states;
  uint64_t m_effects = 0;
};

}  // namespace pistachiowalk::stand_in
