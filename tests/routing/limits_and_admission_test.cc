#include <chrono>

#include "routing/admission.h"
#include "routing/limit_share.h"
#include "routing/retry_budget.h"
#include "routing/route_estimate.h"
#include "routing/token_bucket.h"
#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AdmissionDecision Decide(Priority priority,
                         milliseconds wait,
                         double fair_share_ratio) {
  return DecideAdmission({.priority = priority,
                          .expected_wait = wait,
                          .wait_target = milliseconds(1900),
                          .fair_share_ratio = fair_share_ratio});
}

bool IsAdmitted(Priority priority, milliseconds wait, double fair_share_ratio) {
  return Decide(priority, wait, fair_share_ratio).verdict ==
         AdmissionVerdict::kAdmitted;
}

}  // namespace

Test(limit_share, parts_of_one_sum_add_up_to_the_limit) {
  const DemandSum sum{.total = 10.0, .members = 3};
  const double whole = SplitLimit(90.0, 7.0, sum) + SplitLimit(90.0, 3.0, sum) +
                       SplitLimit(90.0, 0.0, sum);
  cr_assert(whole > 89.999);
  cr_assert(whole < 90.001);
}

Test(limit_share, is_lowered_at_once_and_raised_late) {
  const TimePoint now{};
  LimitShare share(100.0, 2);
  share.Apply(10.0, {.total = 20.0, .members = 2, .summed_at = now}, now);
  cr_assert(share.Share(now + seconds(1)) < 6.0);
  cr_assert(share.Share(now + seconds(3)) > 49.0);
  const TimePoint later = now + seconds(4);
  share.Apply(10.0, {.total = 100.0, .members = 2, .summed_at = later}, later);
  cr_assert(share.Share(later) < 15.0);
}

Test(limit_share, an_old_sum_is_ignored) {
  const TimePoint now{seconds(100)};
  LimitShare share(100.0, 2);
  share.Apply(
      10.0, {.total = 10.0, .members = 2, .summed_at = now - seconds(3)}, now);
  cr_assert(share.Share(now + seconds(10)) == 5.0);
}

Test(limit_share, a_partitioned_member_keeps_its_share) {
  const TimePoint now{};
  LimitShare share(100.0, 4);
  share.Apply(10.0, {.total = 20.0, .members = 4, .summed_at = now}, now);
  const double before = share.Share(now + seconds(3));
  cr_assert(share.Share(now + seconds(4000)) == before);
}

Test(token_bucket, keeps_to_its_rate_and_burst) {
  const TimePoint now{};
  TokenBucket bucket{.tokens = 0.0, .refilled_at = now};
  RefillBucket(bucket, 2.0, 5.0, now + seconds(60));
  cr_assert(bucket.tokens == 5.0);
  cr_assert(TakeTokens(bucket, 5.0));
  cr_assert(not(TakeTokens(bucket, 1.0)));
  RefillBucket(bucket, 2.0, 5.0, now + seconds(59));
  cr_assert(bucket.tokens == 0.0);
}

Test(admission, low_priority_and_high_usage_are_refused_first) {
  struct Case {
    Priority priority;
    int wait_ms;
    double fair_share_ratio;
    bool is_admitted;
  };
  constexpr Case kCases[] = {
      {Priority::kBatch, 0, 5.0, true},
      {Priority::kBatch, 700, 1.0, false},
      {Priority::kStandard, 700, 1.0, true},
      {Priority::kStandard, 700, 2.0, false},
      {Priority::kStandard, 1000, 0.1, false},
      {Priority::kInteractive, 1000, 1.0, true},
      {Priority::kInteractive, 1500, 0.1, false},
      {Priority::kCritical, 1500, 1.0, true},
      {Priority::kCritical, 1900, 0.1, false},
  };
  for (const Case& c : kCases) {
    cr_assert(IsAdmitted(c.priority, milliseconds(c.wait_ms),
                         c.fair_share_ratio) == c.is_admitted);
  }
}

Test(admission, a_refusal_states_a_retry_time) {
  cr_assert(Decide(Priority::kBatch, milliseconds(5000), 1.0).retry_after >=
            seconds(4));
  cr_assert(Decide(Priority::kBatch, milliseconds(600), 1.0).retry_after ==
            seconds(1));
}

Test(fair_share_tracker, usage_is_relative_to_the_weighted_fair_share) {
  FairShareTracker tracker;
  const TimePoint now{};
  for (int i = 0; i < 30; ++i) {
    tracker.RecordRequest(CustomerName("large"), 2.0, now);
  }
  for (int i = 0; i < 30; ++i) {
    tracker.RecordRequest(CustomerName("small"), 1.0, now);
  }
  cr_assert(tracker.FairShareRatio(CustomerName("large"), now) < 1.0);
  cr_assert(tracker.FairShareRatio(CustomerName("small"), now) > 1.0);
  cr_assert(tracker.FairShareRatio(CustomerName("new"), now) == 0.0);
  cr_assert(tracker.FairShareRatio(CustomerName("small"), now + seconds(600)) ==
            0.0);
}

Test(admission, only_a_recent_report_of_waiting_requests_gives_a_wait) {
  EndpointRecord record;
  record.in_flight = 500;
  const TimePoint now{seconds(100)};
  cr_assert(ReportedWait(record, 200, {}, now) == Duration::zero());
  record.has_report = true;
  record.report = {.sampled_at = now, .running = 16, .waiting = 32};
  cr_assert(ReportedWait(record, 200, {}, now) > seconds(5));
  cr_assert(ReportedWait(record, 200, {}, now + seconds(6)) ==
            Duration::zero());
}
