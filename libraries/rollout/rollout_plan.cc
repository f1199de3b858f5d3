#include "rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>

#include "rollout/version_rule.h"

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Part of the bound that is planned to be used; the rest is for repeats,
// resumptions, counts that lag and traffic that falls.
constexpr double kPlannedPart = 0.8;
// Part of the share that is used before the rate of requests is known.
constexpr double kFirstPart = 0.6;
// Standard deviations of the sum of draws that stay within the planned part.
constexpr double kDeviations = 2.0;
// The old versions need requests for the comparison.
constexpr double kMaximumShare = 0.5;
constexpr milliseconds kMeasuringTime{1500};
constexpr uint64_t kMeasuringRequests = 20;
constexpr uint64_t kMeasuringRouteRequests = 100;
constexpr double kShareStep = 0.0001;

// Time for the store's write and for the order to be seen, and for a state to
// reach all nodes.
constexpr milliseconds kWriteTime{2000};
constexpr milliseconds kSpreadTime{2000};
// Lengths of stay after which nearly all requests have ended.
constexpr double kStays = 5.0;
constexpr milliseconds kMinimumDrain{500};
constexpr milliseconds kMaximumDrain{15000};
// Load of the fullest of the old versions' workers, as a multiple of the mean.
constexpr double kFullLoad = 1.25;
// Part of the duration that is kept for judging even if that makes the end
// late.
constexpr double kMinimumJudgingPart = 0.4;

// The mean of a count that stays below `bound` by `kDeviations`.
double MeanBelow(double bound) {
  const double root =
      (std::sqrt(kDeviations * kDeviations + 4.0 * bound) - kDeviations) / 2.0;
  return root * root;
}

double Rounded(double share) {
  return std::floor(share / kShareStep) * kShareStep;
}

double SecondsOf(milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

RolloutShares PlanShares(const RolloutTerms& terms,
                         const RolloutProgress& progress) {
  const double exposure = std::clamp(terms.exposure_share, 0.0, 1.0);
  if (progress.elapsed < kMeasuringTime || progress.sent < kMeasuringRequests) {
    return RolloutShares{
        .share = Rounded(std::min(kMaximumShare, kFirstPart * exposure))};
  }
  const double elapsed = SecondsOf(progress.elapsed);
  const double remaining =
      std::max(0.0, SecondsOf(progress.duration) - elapsed);
  const double sent = static_cast<double>(progress.sent);
  const double to_come = sent / elapsed * remaining;
  const double bound =
      kPlannedPart * (exposure * (sent + to_come) + terms.exposure_slack);
  const double left = bound - static_cast<double>(progress.sent_to_target);
  double share =
      std::min({kMaximumShare, MeanBelow(bound) / (sent + to_come),
                left > 0.0 ? MeanBelow(left) / std::max(1.0, to_come) : 0.0});
  share = Rounded(share);
  RolloutShares shares{.share = share};
  if (progress.sent < kMeasuringRouteRequests ||
      progress.sent_by_route.size() < 2 ||
      progress.sent_by_route.size() > kMaximumRouteShares) {
    return shares;
  }
  // The shares fall with the root of a route's part and have the same mean. No
  // route exceeds the bound by itself, since the mix may change at any time.
  double roots = 0.0;
  for (const auto& [route, count] : progress.sent_by_route) {
    roots += std::sqrt(static_cast<double>(count) / sent);
  }
  const double maximum = std::max(share, std::min(exposure, 2.0 * share));
  for (const auto& [route, count] : progress.sent_by_route) {
    const double root = std::sqrt(static_cast<double>(count) / sent);
    const double own =
        root > 0.0 ? std::min(maximum, share / (roots * root)) : maximum;
    shares.route_shares.push_back(
        RouteShare{.route = route, .share = Rounded(own)});
  }
  return shares;
}

double PlanEndpointShare(double share,
                         const RolloutWorkers& workers,
                         uint64_t salt) {
  if (share >= 1.0 || workers.target == 0) {
    return 1.0;
  }
  const auto as_loaded = static_cast<size_t>(
      std::floor(share / (1.0 - share) * workers.old_versions / kFullLoad));
  const size_t count = std::max(kMinimumChosenWorkers, as_loaded);
  if (!workers.target_keys.empty()) {
    return EndpointShareFor(salt, workers.target_keys, count);
  }
  // NOTE: Without the keys a hash may choose none of a few workers.
  constexpr uint32_t kFewWorkers = 20;
  return workers.target < kFewWorkers
             ? 1.0
             : std::min(1.0, static_cast<double>(std::max<size_t>(8, count)) /
                                 workers.target);
}

RolloutTimes PlanTimes(const RolloutProgress& progress,
                       uint32_t open_at_old_versions) {
  const double elapsed = std::max(0.001, SecondsOf(progress.elapsed));
  const double rate = std::max(
      1.0,
      static_cast<double>(progress.sent - progress.sent_to_target) / elapsed);
  const milliseconds drain = std::clamp(
      milliseconds(
          static_cast<int64_t>(kStays * 1000.0 * open_at_old_versions / rate)),
      kMinimumDrain, kMaximumDrain);
  const milliseconds end =
      std::max(progress.duration / 2, progress.duration - kWriteTime);
  const milliseconds minimum_judging(static_cast<int64_t>(
      kMinimumJudgingPart * static_cast<double>(progress.duration.count())));
  return RolloutTimes{
      .move = std::max(minimum_judging, end - kSpreadTime - drain),
      .latest_move =
          std::max(minimum_judging, end - kSpreadTime - kMinimumDrain),
      .end = end};
}

double PatienceAt(milliseconds elapsed, const RolloutTimes& times) {
  if (elapsed >= times.latest_move) {
    return 0.0;
  }
  return elapsed <= times.move ? 1.0
                               : SecondsOf(times.latest_move - elapsed) /
                                     SecondsOf(times.latest_move - times.move);
}

}  // namespace pistachiowalk
