#pragma once

namespace pistachiowalk {

// Limits retries and hedges to a share of first attempts, so that a failing
// back end is not given a multiple of its load.
class RetryBudget {
 public:
  // Counts a first attempt.
  void RecordFirstAttempt();
  // Whether a retry may be sent now; a granted one is counted.
  bool TryAcquireRetry();

 private:
  double m_balance = 0.0;
};

}  // namespace pistachiowalk
