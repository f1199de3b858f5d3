#include "serving/peer_capacities.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

constexpr double kStepsPerUnit = 32.0;
// Of the logarithms of milliseconds, up to 10 s.
constexpr double kGapStepsPerUnit = 27.0;
constexpr Duration kAgeUnit = milliseconds(10);
constexpr uint8_t kNoMomentaryPace = 255;
// Weight of samples, and factor on times, from which an endpoint is reported.
constexpr double kReportedWeight = 0.5;
constexpr double kReportedFactor = 1.15;
// Reports older than this have lost their weight.
constexpr Duration kLifetime = milliseconds(8000);

template <class Coded>
Coded Encode(double value) {
  return static_cast<Coded>(std::clamp(
      std::round(value), static_cast<double>(std::numeric_limits<Coded>::min()),
      static_cast<double>(std::numeric_limits<Coded>::max())));
}

CapacitySamples SamplesIn(const EndpointCapacityReport& report,
                          TimePoint as_of) {
  return CapacitySamples{
      .pace_weight = static_cast<double>(report.pace_weight),
      .pace_logs = report.pace_weight * (report.pace_log / kStepsPerUnit),
      .short_gap_weight = static_cast<double>(report.short_gap_weight),
      .short_gap_logs =
          report.short_gap_weight * (report.short_gap_log / kGapStepsPerUnit),
      .as_of = as_of};
}

}  // namespace

std::optional<EndpointCapacityReport> DescribeCapacity(
    uint64_t endpoint_key,
    const CapacitySamples& own,
    const MomentaryPace& momentary,
    const UsualPace& usual,
    bool is_discussed,
    TimePoint now) {
  const CapacitySamples current = SamplesAt(own, now);
  const double pace = PaceFactor(current, usual, now);
  const bool has_momentary = MomentaryFactor(momentary, now) >= kReportedFactor;
  const bool is_unusual = pace >= kReportedFactor || has_momentary;
  const bool is_known = current.pace_weight >= kReportedWeight ||
                        current.short_gap_weight >= kReportedWeight;
  if (!is_unusual && !(is_discussed && is_known)) {
    return std::nullopt;
  }
  EndpointCapacityReport report{.endpoint_key = endpoint_key};
  if (current.pace_weight >= kReportedWeight) {
    report.pace_weight = Encode<uint8_t>(current.pace_weight);
    report.pace_log =
        Encode<int8_t>(kStepsPerUnit * current.pace_logs / current.pace_weight);
  }
  if (current.short_gap_weight >= kReportedWeight) {
    report.short_gap_weight = Encode<uint8_t>(current.short_gap_weight);
    report.short_gap_log = Encode<uint8_t>(
        kGapStepsPerUnit * current.short_gap_logs / current.short_gap_weight);
  }
  if (has_momentary) {
    report.momentary_log = Encode<uint8_t>(kStepsPerUnit * momentary.log);
    report.momentary_age =
        Encode<uint8_t>(static_cast<double>((now - momentary.at) / kAgeUnit));
  }
  return report;
}

void PeerCapacities::Apply(const EndpointCapacityState& state, TimePoint now) {
  FromNode& node = m_nodes[state.node];
  const bool is_older =
      node.incarnation == state.incarnation && state.sequence <= node.sequence;
  if (is_older) {
    return;
  }
  node = FromNode{.incarnation = state.incarnation,
                  .sequence = state.sequence,
                  .received_at = now,
                  .reports = state.reports};
  m_received_at = std::max(m_received_at, now);
  m_is_stale = true;
}

void PeerCapacities::Step(TimePoint now) {
  const auto expired = std::erase_if(m_nodes, [&](const auto& node) {
    return now - node.second.received_at > kLifetime;
  });
  m_is_stale |= expired > 0;
}

void PeerCapacities::Sum() const {
  m_is_stale = false;
  m_endpoints.clear();
  for (const auto& [id, node] : m_nodes) {
    for (const EndpointCapacityReport& report : node.reports) {
      OfEndpoint& sum = m_endpoints[report.endpoint_key];
      sum.samples = CombineSamples(
          sum.samples, SamplesIn(report, node.received_at), m_received_at);
      const TimePoint at = node.received_at - report.momentary_age * kAgeUnit;
      if (report.momentary_age != kNoMomentaryPace && at > sum.momentary.at) {
        sum.momentary = MomentaryPace{
            .log = report.momentary_log / kStepsPerUnit, .at = at};
      }
    }
  }
}

const PeerCapacities::OfEndpoint* PeerCapacities::Find(
    uint64_t endpoint_key) const {
  if (m_is_stale) {
    Sum();
  }
  const auto known = m_endpoints.find(endpoint_key);
  return known == m_endpoints.end() ? nullptr : &known->second;
}

CapacitySamples PeerCapacities::SamplesOf(uint64_t endpoint_key) const {
  const OfEndpoint* known = Find(endpoint_key);
  return known == nullptr ? CapacitySamples{} : known->samples;
}

MomentaryPace PeerCapacities::MomentaryOf(uint64_t endpoint_key) const {
  const OfEndpoint* known = Find(endpoint_key);
  return known == nullptr ? MomentaryPace{} : known->momentary;
}

bool PeerCapacities::IsReported(uint64_t endpoint_key) const {
  return Find(endpoint_key) != nullptr;
}

}  // namespace pistachiowalk
