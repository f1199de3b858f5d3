#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "bundle/priority.h"

namespace pistachiowalk {

// What admission needs to know of a request.
struct AdmissionRequest {
  Priority priority = Priority::kStandard;
  // Expected time until the answer begins, and the most that the service's
  // target allows.
  Duration expected_wait{};
  Duration wait_target{};
  // The customer's recent use over its weighted fair part: 1 is fair.
  double fair_share_ratio = 0.0;
};

enum class AdmissionVerdict { kAdmitted, kOverloaded };

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kAdmitted;
  std::chrono::seconds retry_after{0};

  friend auto operator<=>(const AdmissionDecision&,
                          const AdmissionDecision&) = default;
};

// Admits a request if its answer can begin in time. As the wait grows, low
// priorities are refused first, and within one the customers that use most.
AdmissionDecision DecideAdmission(const AdmissionRequest& request);

// Recent use of each customer against its weighted fair part.
class FairShareTracker {
 public:
  void RecordRequest(const CustomerName& customer,
                     double weight,
                     TimePoint now);
  // Use over the fair part among the customers that were active lately.
  double FairShareRatio(const CustomerName& customer, TimePoint now) const;

 private:
  struct Usage {
    double amount = 0.0;
    double weight = 1.0;
    TimePoint updated_at{};
  };

  static double Decayed(const Usage& usage, TimePoint now);

  std::map<CustomerName, Usage> m_usages;
};

}  // namespace pistachiowalk
