#pragma once

#include "base/clock.h"

namespace pistachiowalk {

enum class ResponseQuality {
  kGood,
  // The endpoint responded with an error.
  kFailed,
  // The endpoint reported that it did not execute the request.
  kRejected,
  // No connection, no response, or an incomplete response.
  kBroken,
};

// Outlier detection for one endpoint, from the responses this node has seen.
//
// This covers endpoints that fail, hang or reject requests while their health
// check passes: without it their fast failures would attract more load.
class EndpointHealth {
 public:
  void Record(ResponseQuality quality, TimePoint now);
  // Compares a measured time to the first event with the estimate.
  void RecordFirstEvent(double measured_ms, double expected_ms);

  // Weighted share of recent bad responses, from 0 to 1, decaying with time.
  double FailureScore(TimePoint now) const;
  // Whether the endpoint gets new requests only as a last resort, after
  // consecutive broken responses.
  bool IsEjected(TimePoint now) const { return now < m_ejected_until; }
  // Moving average of measured over estimated time to the first event.
  double slowdown() const { return m_slowdown; }

 private:
  double m_failure_score = 0.0;
  TimePoint m_recorded_at{};
  uint32_t m_consecutive_broken = 0;
  TimePoint m_ejected_until{};
  double m_slowdown = 1.0;
};

}  // namespace pistachiowalk
