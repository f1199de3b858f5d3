#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "base/clock.h"
#include "base/ids.h"
#include "bundle/priority.h"

namespace pistachiowalk {

// What admission control needs to know of a request.
struct AdmissionRequest {
  Priority priority = Priority::kStandard;
  // Estimated time until the response starts, and the maximum by the service's
  // target.
  Duration expected_wait{};
  Duration wait_target{};
  // The customer's recent usage relative to its weighted fair share; 1 is fair.
  double fair_share_ratio = 0.0;
};

enum class AdmissionVerdict { kAdmitted, kOverloaded };

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kAdmitted;
  std::chrono::seconds retry_after{0};

  friend auto operator<=>(const AdmissionDecision&,
                          const AdmissionDecision&) = default;
};

// Admits a request if its response can start in time. As the wait grows, low
// priorities are refused first, and within a priority the customers with the
// highest usage relative to their fair share.
AdmissionDecision DecideAdmission(const AdmissionRequest& request);

// Tracks each customer's recent usage relative to its weighted fair share.
class FairShareTracker {
 public:
  void RecordRequest(const CustomerName& customer,
                     double weight,
                     TimePoint now);
  // Usage relative to the fair share among the recently active customers.
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
