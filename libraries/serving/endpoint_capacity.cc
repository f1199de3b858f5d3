#include "serving/endpoint_capacity.h"

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Time constant with which samples lose their weight.
constexpr Duration kSampleTimeConstant = milliseconds(2500);
// The usual pace counts as this many samples, so that a single one changes
// little.
constexpr double kPriorWeight = 2.5;
// Of this many gaps the second shortest is one sample of the pace: it had no
// prefill beside it, and the shortest may follow an event that was delayed on
// its way.
constexpr uint32_t kBatchGaps = 8;
constexpr double kMinimumGapMs = 2.0;
// Bound of one first event's ratio, which work ahead of it may have delayed.
constexpr double kMaximumFirstEventRatio = 2.0;
// Bound of an endpoint's factor.
constexpr double kMaximumFactor = 4.0;
// Expected times below this are within the noise of the network.
constexpr double kMinimumExpectedMs = 10.0;
// Samples of an endpoint from which it counts for the usual pace of its
// service.
constexpr double kKnownWeight = 1.0;
// Factors up to this are as usual.
constexpr double kUsualFactor = 1.15;
// Weight of one report in the endpoint's average, and the time constant with
// which a report is believed.
constexpr double kReportWeight = 0.05;
constexpr Duration kReportTimeConstant = milliseconds(300);
constexpr double kMinimumPercent = 25.0;
constexpr double kMaximumPercent = 1000.0;

double Decay(Duration age, Duration time_constant) {
  const double ratio = std::chrono::duration<double>(age).count() /
                       std::chrono::duration<double>(time_constant).count();
  return std::exp(-std::max(0.0, ratio));
}

double Median(std::vector<double> values) {
  if (values.empty()) {
    return 0.0;
  }
  const auto middle =
      values.begin() + static_cast<ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

CapacitySamples SamplesAt(const CapacitySamples& samples, TimePoint now) {
  const double factor = Decay(now - samples.as_of, kSampleTimeConstant);
  return CapacitySamples{.pace_weight = samples.pace_weight * factor,
                         .pace_logs = samples.pace_logs * factor,
                         .short_gap_weight = samples.short_gap_weight * factor,
                         .short_gap_logs = samples.short_gap_logs * factor,
                         .batch_gaps = samples.batch_gaps,
                         .shortest_ms = samples.shortest_ms,
                         .second_shortest_ms = samples.second_shortest_ms,
                         .as_of = std::max(now, samples.as_of)};
}

CapacitySamples CombineSamples(const CapacitySamples& a,
                               const CapacitySamples& b,
                               TimePoint now) {
  const CapacitySamples x = SamplesAt(a, now);
  const CapacitySamples y = SamplesAt(b, now);
  return CapacitySamples{
      .pace_weight = x.pace_weight + y.pace_weight,
      .pace_logs = x.pace_logs + y.pace_logs,
      .short_gap_weight = x.short_gap_weight + y.short_gap_weight,
      .short_gap_logs = x.short_gap_logs + y.short_gap_logs,
      .as_of = now};
}

CapacitySamples AddFirstEvent(const CapacitySamples& samples,
                              double measured_ms,
                              double expected_ms,
                              TimePoint now) {
  CapacitySamples sum = SamplesAt(samples, now);
  sum.pace_weight += 1.0;
  sum.pace_logs += std::log(
      std::clamp(measured_ms / std::max(expected_ms, kMinimumExpectedMs),
                 1.0 / kMaximumFirstEventRatio, kMaximumFirstEventRatio));
  return sum;
}

CapacitySamples AddEventGap(const CapacitySamples& samples,
                            double gap_ms,
                            TimePoint now) {
  CapacitySamples sum = SamplesAt(samples, now);
  const double gap = std::max(gap_ms, kMinimumGapMs);
  if (sum.batch_gaps == 0 || gap < sum.shortest_ms) {
    sum.second_shortest_ms = sum.batch_gaps == 0 ? 1e9 : sum.shortest_ms;
    sum.shortest_ms = gap;
  } else {
    sum.second_shortest_ms = std::min(sum.second_shortest_ms, gap);
  }
  if (++sum.batch_gaps == kBatchGaps) {
    sum.short_gap_weight += 1.0;
    sum.short_gap_logs += std::log(sum.second_shortest_ms);
    sum.batch_gaps = 0;
  }
  return sum;
}

WorkTimeReports AddWorkTimeReport(const WorkTimeReports& reports,
                                  double percent,
                                  TimePoint now) {
  const double log =
      std::log(std::clamp(percent, kMinimumPercent, kMaximumPercent) / 100.0);
  const double mean =
      reports.mean_log + kReportWeight * (log - reports.mean_log);
  return WorkTimeReports{
      .mean_log = mean,
      .latest = MomentaryPace{.log = std::max(0.0, log - mean), .at = now}};
}

double MomentaryFactor(const MomentaryPace& pace, TimePoint now) {
  const double log = std::clamp(pace.log, 0.0, std::log(kMaximumFactor)) *
                     Decay(now - pace.at, kReportTimeConstant);
  const double factor = std::exp(log);
  return factor <= kUsualFactor ? 1.0 : factor;
}

UsualPace FindUsualPace(const std::vector<CapacitySamples>& endpoints,
                        TimePoint now) {
  std::vector<double> first_events;
  std::vector<double> gaps;
  for (const CapacitySamples& samples : endpoints) {
    const double factor = Decay(now - samples.as_of, kSampleTimeConstant);
    if (samples.pace_weight * factor >= kKnownWeight) {
      first_events.push_back(samples.pace_logs / samples.pace_weight);
    }
    if (samples.short_gap_weight * factor >= kKnownWeight) {
      gaps.push_back(samples.short_gap_logs / samples.short_gap_weight);
    }
  }
  UsualPace usual{.first_event_log = Median(std::move(first_events))};
  if (!gaps.empty()) {
    usual.gap_log = Median(std::move(gaps));
  }
  return usual;
}

double PaceFactor(const CapacitySamples& samples,
                  const UsualPace& usual,
                  TimePoint now) {
  const CapacitySamples current = SamplesAt(samples, now);
  double weight = kPriorWeight + current.pace_weight;
  double sum = current.pace_logs - current.pace_weight * usual.first_event_log;
  if (usual.gap_log) {
    weight += current.short_gap_weight;
    sum += current.short_gap_logs - current.short_gap_weight * *usual.gap_log;
  }
  const double factor = std::exp(sum / weight);
  return factor <= kUsualFactor ? 1.0 : std::min(factor, kMaximumFactor);
}

}  // namespace pistachiowalk
