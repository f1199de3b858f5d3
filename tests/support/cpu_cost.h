#pragma once

#include <algorithm>
#include <cstddef>
#include <ctime>
#include <limits>

namespace pistachiowalk::testing {

// Processor time that this thread has used, in seconds.
inline double CpuSeconds() {
  constexpr double kNanosecond = 1e-9;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kNanosecond;
}

// The least processor time of several calls, in seconds.
template <class Function>
double LeastCpuSeconds(const Function& function) {
  constexpr int kRepetitions = 20;
  double least = std::numeric_limits<double>::max();
  for (int i = 0; i < kRepetitions; ++i) {
    const double start = CpuSeconds();
    function();
    least = std::min(least, CpuSeconds() - start);
  }
  return least;
}

// How many times as long the longer input of a test is, and what it may cost in
// costs of the shorter one: a cost that is the square of the length grows
// sixteen times.
constexpr size_t kLonger = 4;
constexpr double kMaximumGrowth = 2.0 * kLonger;

}  // namespace pistachiowalk::testing
