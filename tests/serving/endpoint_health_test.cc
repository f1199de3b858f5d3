#include "serving/endpoint_health.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

Test(endpoint_health, consecutive_broken_responses_eject_for_a_short_time) {
  EndpointHealth health;
  const TimePoint now(seconds(10));
  health.Record(ResponseQuality::kBroken, now);
  cr_assert(!health.IsEjected(now));
  health.Record(ResponseQuality::kBroken, now);
  cr_assert(health.IsEjected(now));
  cr_assert(!health.IsEjected(now + seconds(1)));
  for (int i = 0; i < 20; ++i) {
    health.Record(ResponseQuality::kBroken, now);
  }
  cr_assert(health.IsEjected(now + milliseconds(2500)));
  cr_assert(!health.IsEjected(now + milliseconds(3500)));
}

Test(endpoint_health, a_good_response_ends_an_ejection) {
  EndpointHealth health;
  const TimePoint now(seconds(10));
  health.Record(ResponseQuality::kBroken, now);
  health.Record(ResponseQuality::kBroken, now);
  health.Record(ResponseQuality::kGood, now);
  cr_assert(!health.IsEjected(now));
}

Test(endpoint_health, fast_failures_raise_the_failure_score_which_decays) {
  EndpointHealth health;
  const TimePoint now(seconds(10));
  for (int i = 0; i < 30; ++i) {
    health.Record(
        i % 2 == 0 ? ResponseQuality::kFailed : ResponseQuality::kGood, now);
  }
  cr_assert(health.FailureScore(now) > 0.3);
  cr_assert(health.FailureScore(now) < 0.7);
  cr_assert(health.FailureScore(now + seconds(20)) < 0.05);
}

Test(endpoint_health, a_slow_endpoint_is_expected_to_stay_slow) {
  EndpointHealth health;
  for (int i = 0; i < 60; ++i) {
    health.RecordFirstEvent(400.0, 100.0);
  }
  cr_assert(health.slowdown() > 3.0);
  cr_assert(health.slowdown() < 4.5);
}
