#include "routing/admission.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

// Time constant with which usage decays.
constexpr double kDecaySeconds = 5.0;
// A customer with less usage than this is not active.
constexpr double kMinimumUsage = 0.01;
// Bounds of the factor by which a customer's usage scales its wait threshold.
constexpr double kMinimumUsageFactor = 0.5;
constexpr double kMaximumUsageFactor = 1.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Share of the wait target up to which a priority is admitted.
double WaitShare(Priority priority) {
  switch (priority) {
    case Priority::kCritical:
      return 0.9;
    case Priority::kInteractive:
      return 0.7;
    case Priority::kStandard:
      return 0.5;
    case Priority::kBatch:
      return 0.3;
  }
  return 0.5;
}

}  // namespace

AdmissionDecision DecideAdmission(const AdmissionRequest& request) {
  const double usage = std::max(request.fair_share_ratio, 1e-3);
  const double usage_factor =
      std::clamp(1.0 / usage, kMinimumUsageFactor, kMaximumUsageFactor);
  const double allowed =
      Seconds(request.wait_target) * WaitShare(request.priority) * usage_factor;
  const double wait = Seconds(request.expected_wait);
  if (wait <= allowed) {
    return {};
  }
  const double until_free = std::ceil(wait - allowed);
  return AdmissionDecision{
      .verdict = AdmissionVerdict::kOverloaded,
      .retry_after = std::chrono::seconds(
          std::max<int64_t>(1, static_cast<int64_t>(until_free)))};
}

double FairShareTracker::Decayed(const Usage& usage, TimePoint now) {
  return usage.amount *
         std::exp(-Seconds(now - usage.updated_at) / kDecaySeconds);
}

void FairShareTracker::RecordRequest(const CustomerName& customer,
                                     double weight,
                                     TimePoint now) {
  Usage& usage = m_usages[customer];
  usage.amount = Decayed(usage, now) + 1.0;
  usage.weight = weight;
  usage.updated_at = now;
}

double FairShareTracker::FairShareRatio(const CustomerName& customer,
                                        TimePoint now) const {
  double total_usage = 0.0;
  double total_weight = 0.0;
  for (const auto& [name, usage] : m_usages) {
    const double amount = Decayed(usage, now);
    if (amount < kMinimumUsage) {
      continue;
    }
    total_usage += amount;
    total_weight += usage.weight;
  }
  const auto it = m_usages.find(customer);
  if (it == m_usages.end() || total_usage <= 0.0) {
    return 0.0;
  }
  const double fair = total_usage * it->second.weight / total_weight;
  return Decayed(it->second, now) / std::max(fair, kMinimumUsage);
}

}  // namespace pistachiowalk
