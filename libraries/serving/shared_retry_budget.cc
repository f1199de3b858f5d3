#include "serving/shared_retry_budget.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Fraction of the configured ratio and slack that is used, since the window
// slides and the limit is checked against requests counted elsewhere.
constexpr double kUsedFraction = 0.7;

}  // namespace

void SharedRetryBudget::Refill(const RetryBudgetConfig& config, TimePoint now) {
  const double share =
      kUsedFraction * config.slack / std::max(1.0, config.nodes);
  if (m_refilled_at == TimePoint{}) {
    m_balance = share / 2.0;
  } else {
    const double windows =
        std::chrono::duration<double>(now - m_refilled_at).count() /
        std::chrono::duration<double>(config.window).count();
    m_balance = std::min(share / 2.0, m_balance + share / 2.0 * windows);
  }
  m_refilled_at = now;
}

void SharedRetryBudget::RecordRequest(const RetryBudgetConfig& config,
                                      TimePoint now) {
  Refill(config, now);
  m_balance += kUsedFraction * config.ratio;
}

bool SharedRetryBudget::CanRetry(const RetryBudgetConfig& config,
                                 TimePoint now) {
  Refill(config, now);
  return m_balance >= 1.0;
}

}  // namespace pistachiowalk
