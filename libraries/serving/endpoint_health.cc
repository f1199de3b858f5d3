#include "serving/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

// Weight of one answer in the moving average.
constexpr double kResponseWeight = 0.15;
// Time in which failure_score fades to a third without answers.
constexpr double kDecaySeconds = 4.0;
// Broken answers in a row that eject an endpoint, the first pause and the
// longest one: short, since a worker that is back is needed at once.
constexpr uint32_t kBrokenResponsesToEject = 2;
constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr Duration kMaximumEjection = std::chrono::milliseconds(3000);
constexpr uint32_t kMaximumDoublings = 3;
// How much one measured first event moves the slowness, and its bounds.
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
