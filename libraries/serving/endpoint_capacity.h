#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace pistachiowalk {

// What was measured of one endpoint lately: sums whose weights decay with time,
// so that a slow endpoint that gets no requests is tried again.
struct CapacitySamples {
  // Of the logarithms of measured over expected times to the first event, or to
  // the response of a service without streams.
  double pace_weight = 0.0;
  double pace_logs = 0.0;
  // Of the logarithms of short gaps between events, in milliseconds.
  double short_gap_weight = 0.0;
  double short_gap_logs = 0.0;
  // The last gaps: their number, and the two shortest.
  uint32_t batch_gaps = 0;
  double shortest_ms = 0.0;
  double second_shortest_ms = 0.0;
  // The time to which the sums have decayed.
  TimePoint as_of{};

  friend auto operator<=>(const CapacitySamples&,
                          const CapacitySamples&) = default;
};

CapacitySamples SamplesAt(const CapacitySamples& samples, TimePoint now);
// Sums over what several nodes have measured.
CapacitySamples CombineSamples(const CapacitySamples& a,
                               const CapacitySamples& b,
                               TimePoint now);
CapacitySamples AddFirstEvent(const CapacitySamples& samples,
                              double measured_ms,
                              double expected_ms,
                              TimePoint now);
CapacitySamples AddEventGap(const CapacitySamples& samples,
                            double gap_ms,
                            TimePoint now);

// How long work takes at an endpoint now compared with its own average, as it
// reports it: the logarithm, never below zero, and when it was received.
struct MomentaryPace {
  double log = 0.0;
  TimePoint at{};

  friend auto operator<=>(const MomentaryPace&, const MomentaryPace&) = default;
};

// The reports of one endpoint, as received by this node.
struct WorkTimeReports {
  // Moving average of the logarithms of what the endpoint reports.
  double mean_log = 0.0;
  MomentaryPace latest;

  friend auto operator<=>(const WorkTimeReports&,
                          const WorkTimeReports&) = default;
};

// `percent` is 100 if work takes as long as usual at the endpoint.
WorkTimeReports AddWorkTimeReport(const WorkTimeReports& reports,
                                  double percent,
                                  TimePoint now);
// The factor on times due to the momentary pace. It tends to one with the age
// of the report, and is never below one, so that nodes with the same reports do
// not all choose the endpoint that was fastest.
double MomentaryFactor(const MomentaryPace& pace, TimePoint now);

// What is usual at a service: the medians over its endpoints of which enough is
// known. A slowdown of all of them makes none look slow.
struct UsualPace {
  double first_event_log = 0.0;
  // Not set while too little is known of all endpoints.
  std::optional<double> gap_log;

  friend auto operator<=>(const UsualPace&, const UsualPace&) = default;
};
UsualPace FindUsualPace(const std::vector<CapacitySamples>& endpoints,
                        TimePoint now);
// Factor on the times that are expected of the endpoint, from 1 for the usual
// pace. With few samples, or close to the usual pace, it is 1.
double PaceFactor(const CapacitySamples& samples,
                  const UsualPace& usual,
                  TimePoint now);

}  // namespace pistachiowalk
