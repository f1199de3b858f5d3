#include "serving/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

// Weight of one answer in the moving average.
constexpr double kAnswerWeight = 0.15;
// Time in which badness fades to a third without answers.
constexpr double kFadeSeconds = 4.0;
// Broken answers in a row that eject an endpoint, the first pause and the
// longest one: short, since a worker that is back is needed at once.
constexpr uint32_t kBrokenToEject = 2;
constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr Duration kLongestEjection = std::chrono::milliseconds(3000);
constexpr uint32_t kMostDoublings = 3;
// How much one measured first event moves the slowness, and its bounds.
constexpr double kSlowdownWeight = 0.05;
constexpr double kMinimumSlowdown = 0.6;
constexpr double kMaximumSlowdown = 6.0;

double WeightOf(AnswerQuality quality) {
  switch (quality) {
    case AnswerQuality::kGood:
      return 0.0;
    case AnswerQuality::kFailed:
      return 1.0;
    case AnswerQuality::kRejected:
      return 0.7;
    case AnswerQuality::kBroken:
      return 1.0;
  }
  return 0.0;
}

}  // namespace

void EndpointHealth::Note(AnswerQuality quality, TimePoint now) {
  m_badness = Badness(now);
  m_badness += kAnswerWeight * (WeightOf(quality) - m_badness);
  m_noted_at = now;
  if (quality != AnswerQuality::kBroken) {
    m_broken_in_row = 0;
    if (quality == AnswerQuality::kGood) {
      m_ejected_until = TimePoint{};
    }
    return;
  }
  ++m_broken_in_row;
  if (m_broken_in_row >= kBrokenToEject) {
    const uint32_t doublings =
        std::min(m_broken_in_row - kBrokenToEject, kMostDoublings);
    m_ejected_until =
        now + std::min(kFirstEjection * (1U << doublings), kLongestEjection);
  }
}

void EndpointHealth::NoteFirstEvent(double measured_ms, double expected_ms) {
  const double ratio = std::clamp(measured_ms / std::max(expected_ms, 10.0),
                                  kMinimumSlowdown, kMaximumSlowdown);
  m_slowdown += kSlowdownWeight * (ratio - m_slowdown);
}

double EndpointHealth::Badness(TimePoint now) const {
  const double age = std::chrono::duration<double>(now - m_noted_at).count();
  return m_badness * std::exp(-std::max(0.0, age) / kFadeSeconds);
}

}  // namespace pistachiowalk
