#pragma once

#include "base/clock.h"

namespace pistachiowalk {

// Terms of the budget that all nodes share for sending requests to a service
// a second time.
struct RetryBudgetConfig {
  // Repeats for each request.
  double ratio = 0.1;
  // Repeats beyond the ratio in a window, over all nodes.
  double slack = 0.0;
  Duration window = std::chrono::seconds(10);
  // Nodes that share the slack.
  double nodes = 1.0;

  friend auto operator<=>(const RetryBudgetConfig&,
                          const RetryBudgetConfig&) = default;
};

// One node's part of a service's budget of repeats: its own requests' ratio,
// and an even share of the slack.
class SharedRetryBudget {
 public:
  // Counts the first send of a request.
  void RecordRequest(const RetryBudgetConfig& config, TimePoint now);
  bool CanRetry(const RetryBudgetConfig& config, TimePoint now);
  // Counts a repeat.
  void RecordRetry() { m_balance -= 1.0; }

 private:
  void Refill(const RetryBudgetConfig& config, TimePoint now);

  double m_balance = 0.0;
  TimePoint m_refilled_at{};
};

}  // namespace pistachiowalk
