#pragma once

#include "base/clock.h"

namespace pistachiowalk {

// Limits of a service's retry budget, which all nodes share.
struct RetryBudgetConfig {
  // Retries per request.
  double ratio = 0.1;
  // Retries per window beyond the ratio, over all nodes.
  double slack = 0.0;
  Duration window = std::chrono::seconds(10);
  // Nodes that share the slack.
  double nodes = 1.0;

  friend auto operator<=>(const RetryBudgetConfig&,
                          const RetryBudgetConfig&) = default;
};

// One node's part of a service's retry budget: the ratio applied to its own
// requests, and an even share of the slack.
class SharedRetryBudget {
 public:
  // Counts the first attempt of a request.
  void RecordRequest(const RetryBudgetConfig& config, TimePoint now);
  bool CanRetry(const RetryBudgetConfig& config, TimePoint now);
  // Counts a retry.
  void RecordRetry() { m_balance -= 1.0; }

 private:
  void Refill(const RetryBudgetConfig& config, TimePoint now);

  double m_balance = 0.0;
  TimePoint m_refilled_at{};
};

}  // namespace pistachiowalk
