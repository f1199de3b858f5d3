#include "routing/retry_budget.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

constexpr double kRetriesPerFirstAttempt = 0.1;
// Maximum number of accumulated retries.
constexpr double kMaximumBalance = 20.0;

}  // namespace

void RetryBudget::RecordFirstAttempt() {
  m_balance = std::min(kMaximumBalance, m_balance + kRetriesPerFirstAttempt);
}

bool RetryBudget::TryAcquireRetry() {
  // NOTE: The sum of ten tenths may be slightly below one in floating point.
  if (m_balance < 1.0 - 1e-9) {
    return false;
  }
  m_balance -= 1.0;
  return true;
}

}  // namespace pistachiowalk
