#pragma once

namespace pistachiowalk {

// Limits retries and hedged requests to a share of first attempts, so that
// retries do not multiply the load of a failing back end.
class RetryBudget {
 public:
  // Counts a first attempt.
  void RecordFirstAttempt();
  // Returns whether a retry may be sent now, and counts it if so.
  bool TryAcquireRetry();

 private:
  double m_balance = 0.0;
};

}  // namespace pistachiowalk
