#include "rollout/own_evidence.h"

#include <algorithm>
#include <numeric>

namespace pistachiowalk {
namespace {

constexpr Duration kSliceLength = std::chrono::milliseconds(500);
// Log likelihood ratio at which a node stops: false once in 160,000 roll-outs
// of a node.
constexpr double kStopRatio = 12.0;
// Most that one slice may add: at least two seconds of evidence.
constexpr double kMaximumGain = 3.0;

// A node's own numbers are small, and it may have a fault of its own that hits
// some workers only, so more is allowed than in the judgement over all nodes.
constexpr double kShareFactor = 3.0;
constexpr double kGoodShare = 0.05;
constexpr double kBadShare = 0.2;
constexpr double kMaximumGoodShare = 0.6;

constexpr double kUsualWindow = 200.0;
constexpr double kMinimumUsualAnswers = 20.0;
constexpr double kUsualPercentile = 0.9;
constexpr size_t kSlowBuckets = 3;
constexpr size_t kMaximumRoutes = kMaximumRolloutRoutes;

double RatioOf(double usual, bool is_hit) {
  const double good =
      std::min(kMaximumGoodShare, kShareFactor * usual + kGoodShare);
  return LogLikelihoodRatio(
      is_hit ? 1 : 0, 1,
      ShareHypotheses{.good = good, .bad = good + kBadShare});
}

}  // namespace

void OwnEvidence::Add(const std::string& route,
                      bool is_target,
                      uint64_t endpoint_key,
                      const RolloutResult& result,
                      TimePoint now) {
  if (m_slice_since == TimePoint{}) {
    m_slice_since = now;
  } else if (now - m_slice_since >= kSliceLength) {
    EndSlice(now);
  }
  if (!m_usual.contains(route) && m_usual.size() >= kMaximumRoutes) {
    return;
  }
  Usual& usual = m_usual[route];
  if (!is_target) {
    if (usual.answers >= kUsualWindow) {
      usual.answers /= 2.0;
      usual.bad /= 2.0;
    }
    usual.answers += 1.0;
    usual.bad += result.is_good ? 0.0 : 1.0;
    if (result.milliseconds) {
      if (usual.time_count >= kUsualWindow) {
        usual.time_count /= 2.0;
        for (double& count : usual.times) {
          count /= 2.0;
        }
      }
      usual.time_count += 1.0;
      usual.times.at(RolloutTimeBucket(*result.milliseconds)) += 1.0;
    }
    return;
  }
  if (usual.answers >= kMinimumUsualAnswers) {
    WorkerEvidence::Slice& slice = m_failure_slices[endpoint_key];
    ++slice.answers;
    slice.ratio += RatioOf(usual.bad / usual.answers, !result.is_good);
  }
  if (!result.milliseconds || usual.time_count < kMinimumUsualAnswers) {
    return;
  }
  size_t slow_from = 0;
  for (double below = usual.times[0];
       below < kUsualPercentile * usual.time_count &&
       slow_from + 1 < kRolloutTimeBuckets;) {
    below += usual.times.at(++slow_from);
  }
  slow_from = std::min(kRolloutTimeBuckets, slow_from + kSlowBuckets);
  const double slow = std::accumulate(
      usual.times.begin() + static_cast<std::ptrdiff_t>(slow_from),
      usual.times.end(), 0.0);
  WorkerEvidence::Slice& slice = m_slowness_slices[endpoint_key];
  ++slice.answers;
  slice.ratio += RatioOf(slow / usual.time_count,
                         RolloutTimeBucket(*result.milliseconds) >= slow_from);
}

void OwnEvidence::EndSlice(TimePoint now) {
  m_failures.Add(m_failure_slices, kMaximumGain, kStopRatio);
  m_slowness.Add(m_slowness_slices, kMaximumGain, kStopRatio);
  m_failure_slices.clear();
  m_slowness_slices.clear();
  m_slice_since = now;
  constexpr double kRounding = 1e-6;
  m_is_against |= m_failures.Sum(kStopRatio) >= kStopRatio - kRounding ||
                  m_slowness.Sum(kStopRatio) >= kStopRatio - kRounding;
}

}  // namespace pistachiowalk
