#include "serving/shared_retry_budget.h"

#include <vector>

#include "support/criterion.h"

using namespace pistachiowalk;

// All requests fail for a minute at eight nodes: the retries of any window must
// stay within the configured ratio and slack.
Test(shared_retry_budget, nodes_together_keep_to_the_ratio_and_slack) {
  constexpr int kNodes = 8;
  constexpr int kPerSecondAtNode = 20;
  const RetryBudgetConfig config{.ratio = 0.2, .slack = 56.0, .nodes = kNodes};
  SharedRetryBudget budgets[kNodes];
  std::vector<int> retries_by_second;
  for (int second = 0; second < 60; ++second) {
    int retries = 0;
    for (SharedRetryBudget& budget : budgets) {
      for (int i = 0; i < kPerSecondAtNode; ++i) {
        const TimePoint now(std::chrono::seconds(second + 1) +
                            std::chrono::milliseconds(50 * i));
        budget.RecordRequest(config, now);
        if (budget.CanRetry(config, now)) {
          budget.RecordRetry();
          ++retries;
        }
      }
    }
    retries_by_second.push_back(retries);
  }
  const double allowed = 0.2 * kNodes * kPerSecondAtNode * 10 + 56.0;
  for (size_t first = 0; first + 10 <= retries_by_second.size(); ++first) {
    int sum = 0;
    for (size_t second = first; second < first + 10; ++second) {
      sum += retries_by_second[second];
    }
    cr_assert(sum <= allowed);
  }
}

Test(shared_retry_budget, an_idle_node_may_retry_occasionally) {
  const RetryBudgetConfig config{.ratio = 0.2, .slack = 56.0, .nodes = 8};
  SharedRetryBudget budget;
  const TimePoint now(std::chrono::seconds(5));
  budget.RecordRequest(config, now);
  cr_assert(budget.CanRetry(config, now));
}
