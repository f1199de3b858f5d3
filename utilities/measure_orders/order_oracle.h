#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "fleet/order.h"
#include "order_endpoint.h"

namespace pistachiowalk::measure {

// Violations and counts of one fuzzing run.
struct OrderFigures {
  uint64_t stale_applied_fenced = 0;
  uint64_t stale_unmended_unfenced = 0;
  uint64_t duplicate_effects = 0;
  uint64_t weight_store_over_limit = 0;
  uint64_t orders_applied = 0;
  uint64_t stale_applied_unfenced = 0;
  uint64_t mended = 0;
  uint64_t grants = 0;

  friend auto operator<=>(const OrderFigures&, const OrderFigures&) = default;
};

// Observes one endpoint and records every order that reached it.
class EndpointOracle {
 public:
  EndpointOracle(stand_in::FencingCheck check, OrderFigures& figures)
      : m_check(check), m_figures(figures) {}

  void RecordApplied(const Order& order,
                     const FacetState& before,
                     OrderAnswer answer);
  // `expected_target`: the target that the endpoint should have now; having it
  // is right whichever order set it. `can_repair`: a holder as new as the
  // newest order is at work and reaches the endpoint.
  void Step(Duration step, const std::string& expected_target, bool can_repair);
  OrderStamp highest() const { return m_highest; }
  const std::string& highest_target() const { return m_highest_target; }

 private:
  stand_in::FencingCheck m_check;
  OrderFigures& m_figures;
  OrderStamp m_highest;
  std::string m_highest_target;
  std::string m_target;
  std::map<std::string, int> m_effects_by_order;
  Duration m_stale_for{};
};

// Checks the weight store's rate limit with a count of its own.
class WeightStoreOracle {
 public:
  WeightStoreOracle(double rate, double burst, OrderFigures& figures)
      : m_rate(rate), m_burst(burst), m_tokens(burst), m_figures(figures) {}

  void RecordLoad(TimePoint now);

 private:
  double m_rate;
  double m_burst;
  double m_tokens;
  TimePoint m_last{};
  OrderFigures& m_figures;
};

}  // namespace pistachiowalk::measure
