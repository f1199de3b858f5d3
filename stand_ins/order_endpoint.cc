#include "order_endpoint.h"

namespace pistachiowalk::stand_in {

OrderAnswer OrderEndpoint::Apply(const Order& order) {
  FacetState& state = m_states[order.facet];
  if (m_check == FencingCheck::kRejectsStaleOrders &&
      order.stamp < state.stamp) {
    return OrderAnswer::kStale;
  }
  if (state.target != order.target) {
    ++m_effects;
  }
  state = FacetState{
      .order_id = order.id, .stamp = order.stamp, .target = order.target};
  return OrderAnswer::kInForce;
}

FacetState OrderEndpoint::StateOf(OrderFacet facet) const {
  const auto it = m_states.find(facet);
  return it == m_states.end() ? FacetState{} : it->second;
}

}  // namespace pistachiowalk::stand_in
