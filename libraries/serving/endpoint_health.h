#pragma once

#include "base/clock.h"

namespace pistachiowalk {

enum class ResponseQuality {
  kGood,
  // The endpoint answered with a failure of its own.
  kFailed,
  // It said that it did not run the request.
  kRejected,
  // No connection, no answer, or one that broke off.
  kBroken,
};

// How well an endpoint has answered this node, for choosing among endpoints.
//
// Answers endpoints that fail, hang or turn requests away quickly while their
// status check is good; their quick failures would else draw more load.
class EndpointHealth {
 public:
  void Record(ResponseQuality quality, TimePoint now);
  // Takes in a measured time to the first event against the expected one.
  void RecordFirstEvent(double measured_ms, double expected_ms);

  // Share of bad answers lately, from 0 to 1, fading with time.
  double FailureScore(TimePoint now) const;
  // No new work but by way of trial, after answers that broke in a row.
  bool IsEjected(TimePoint now) const { return now < m_ejected_until; }
  double slowdown() const { return m_slowdown; }

 private:
  double m_failure_score = 0.0;
  TimePoint m_recorded_at{};
  uint32_t m_consecutive_broken = 0;
  TimePoint m_ejected_until{};
  double m_slowdown = 1.0;
};

}  // namespace pistachiowalk
