#include "serving/response_times.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using std::chrono::milliseconds;

Test(response_times, few_samples_give_the_default) {
  ResponseTimes times;
  times.Add(milliseconds(10));
  cr_assert(times.Expected(milliseconds(300)) == milliseconds(300));
}

Test(response_times, nine_in_ten_responses_take_no_longer) {
  ResponseTimes times;
  for (int i = 1; i <= 50; ++i) {
    times.Add(milliseconds(i * 10));
  }
  const Duration expected = times.Expected(milliseconds(0));
  cr_assert(expected >= milliseconds(450) && expected <= milliseconds(470));
}

Test(response_times, the_latest_responses_replace_the_earlier_ones) {
  ResponseTimes times;
  for (int i = 0; i < 100; ++i) {
    times.Add(milliseconds(5000));
  }
  for (int i = 0; i < 100; ++i) {
    times.Add(milliseconds(20));
  }
  cr_assert(times.Expected(milliseconds(0)) < milliseconds(21));
}
