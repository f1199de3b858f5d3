#include "order_oracle.h"

#include <algorithm>
#include <chrono>

#include "fleet/order_tracker.h"

namespace pistachiowalk::measure {

void EndpointOracle::RecordApplied(const Order& order,
                                   const FacetState& before,
                                   OrderAnswer answer) {
  if (answer != OrderAnswer::kInForce) {
    return;
  }
  ++m_figures.orders_applied;
  const bool is_stale = order.stamp < m_highest;
  const bool has_effect = before.target != order.target;
  if (is_stale && m_check == stand_in::FencingCheck::kRejectsStaleOrders) {
    ++m_figures.stale_applied_fenced;
  }
  if (is_stale && m_check == stand_in::FencingCheck::kAcceptsStaleOrders) {
    ++m_figures.stale_applied_unfenced;
  }
  if (has_effect && ++m_effects_by_order[order.id] > 1) {
    ++m_figures.duplicate_effects;
  }
  if (!is_stale) {
    m_highest = order.stamp;
    m_highest_target = order.target;
  }
  m_target = order.target;
}

void EndpointOracle::Step(Duration step,
                          const std::string& expected_target,
                          bool can_repair) {
  if (m_target == m_highest_target || m_target == expected_target) {
    m_stale_for = Duration{};
    return;
  }
  if (!can_repair) {
    return;
  }
  const bool was_overdue = m_stale_for > kRepairTime;
  m_stale_for += step;
  if (!was_overdue && m_stale_for > kRepairTime) {
    ++m_figures.stale_unmended_unfenced;
  }
}

void WeightStoreOracle::RecordLoad(TimePoint now) {
  if (m_last != TimePoint{}) {
    const double elapsed = std::chrono::duration<double>(now - m_last).count();
    m_tokens = std::min(m_burst, m_tokens + elapsed * m_rate);
  }
  m_last = now;
  m_tokens -= 1.0;
  if (m_tokens < -1e-9) {
    ++m_figures.weight_store_over_limit;
    m_tokens = 0.0;
  }
}

}  // namespace pistachiowalk::measure
