#include "serving/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

// Weight of one response in the moving average.
constexpr double kResponseWeight = 0.15;
// Time constant with which the failure score decays without responses.
constexpr double kDecaySeconds = 4.0;
// Consecutive broken responses that eject an endpoint, and the first and the
// longest ejection: short, since a recovered worker is needed at once.
constexpr uint32_t kBrokenResponsesToEject = 2;
constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr Duration kMaximumEjection = std::chrono::milliseconds(3000);
constexpr uint32_t kMaximumDoublings = 3;
// Weight of one measured first event in the slowdown, and its bounds.
constexpr double kSlowdownWeight = 0.05;
constexpr double kMinimumSlowdown = 0.6;
constexpr double kMaximumSlowdown = 6.0;

double FailureWeight(ResponseQuality quality) {
  switch (quality) {
    case ResponseQuality::kGood:
      return 0.0;
    case ResponseQuality::kFailed:
      return 1.0;
    case ResponseQuality::kRejected:
      return 0.7;
    case ResponseQuality::kBroken:
      return 1.0;
  }
  return 0.0;
}

}  // namespace

void EndpointHealth::Record(ResponseQuality quality, TimePoint now) {
  m_failure_score = FailureScore(now);
  m_failure_score +=
      kResponseWeight * (FailureWeight(quality) - m_failure_score);
  m_recorded_at = now;
  if (quality != ResponseQuality::kBroken) {
    m_consecutive_broken = 0;
    if (quality == ResponseQuality::kGood) {
      m_ejected_until = TimePoint{};
    }
    return;
  }
  ++m_consecutive_broken;
  if (m_consecutive_broken >= kBrokenResponsesToEject) {
    const uint32_t doublings = std::min(
        m_consecutive_broken - kBrokenResponsesToEject, kMaximumDoublings);
    m_ejected_until =
        now + std::min(kFirstEjection * (1U << doublings), kMaximumEjection);
  }
}

void EndpointHealth::RecordFirstEvent(double measured_ms, double expected_ms) {
  const double ratio = std::clamp(measured_ms / std::max(expected_ms, 10.0),
                                  kMinimumSlowdown, kMaximumSlowdown);
  m_slowdown += kSlowdownWeight * (ratio - m_slowdown);
}

double EndpointHealth::FailureScore(TimePoint now) const {
  const double age = std::chrono::duration<double>(now - m_recorded_at).count();
  return m_failure_score * std::exp(-std::max(0.0, age) / kDecaySeconds);
}

}  // namespace pistachiowalk
