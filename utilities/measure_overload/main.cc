#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "overload_model.h"

namespace pistachiowalk::measure {
namespace {

constexpr std::array<double, 4> kLoads{0.5, 1.0, 2.0, 4.0};
constexpr uint32_t kSeconds = 60;
constexpr uint32_t kWarmUpSeconds = 10;
constexpr uint32_t kOverloadFrom = 20;
constexpr uint32_t kOverloadUntil = 50;
constexpr double kNormalLoad = 0.7;
constexpr uint32_t kSmoothingSeconds = 3;
constexpr double kRecoveredShare = 0.95;

double MeanGoodput(const OverloadFigures& figures,
                   uint32_t from,
                   uint32_t until) {
  double sum = 0.0;
  for (uint32_t second = from; second < until; ++second) {
    sum += figures.good_by_second[second];
  }
  return sum / (until - from);
}

void PrintLoad(double load, uint64_t seed) {
  OverloadModel model({{.load = load}}, kSeconds, seed);
  const OverloadFigures figures = model.Run();
  const double goodput = MeanGoodput(figures, kWarmUpSeconds, kSeconds);
  std::printf("overload.%g.goodput: %.4f of_capacity\n", load,
              goodput / OverloadModel::CapacityPerSecond());
  for (size_t i = 0; i < kPriorities; ++i) {
    std::printf("overload.%g.priority_%zu.served: %.4f share\n", load, i,
                static_cast<double>(figures.good_by_priority[i]) /
                    static_cast<double>(figures.offered_by_priority[i]));
  }
  for (size_t i = 0; i < kCustomers; ++i) {
    std::printf("overload.%g.customer_%zu.served: %.4f share\n", load, i,
                static_cast<double>(figures.good_by_customer[i]) /
                    static_cast<double>(figures.offered_by_customer[i]));
  }
  std::printf("overload.%g.retry_amplification: %.4f ratio\n", load,
              static_cast<double>(figures.attempts) /
                  static_cast<double>(figures.first_attempts));
}

// Goodput after an overload of twice the capacity against before it.
void PrintRecovery(uint64_t seed) {
  OverloadModel model({{.load = kNormalLoad},
                       {.start_second = kOverloadFrom, .load = 2.0},
                       {.start_second = kOverloadUntil, .load = kNormalLoad}},
                      kSeconds + kOverloadUntil, seed);
  const OverloadFigures figures = model.Run();
  const double before = MeanGoodput(figures, kWarmUpSeconds, kOverloadFrom);
  uint32_t second = kOverloadUntil;
  while (second + kSmoothingSeconds < figures.good_by_second.size() &&
         MeanGoodput(figures, second, second + kSmoothingSeconds) <
             kRecoveredShare * before) {
    ++second;
  }
  std::printf("overload.recovery_s: %u s\n", second - kOverloadUntil);
  std::printf("overload.retry_amplification: %.4f ratio\n",
              static_cast<double>(figures.attempts) /
                  static_cast<double>(figures.first_attempts));
}

}  // namespace
}  // namespace pistachiowalk::measure

int main(int argc, char** argv) {
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  for (const double load : pistachiowalk::measure::kLoads) {
    pistachiowalk::measure::PrintLoad(load, seed);
  }
  pistachiowalk::measure::PrintRecovery(seed);
  return 0;
}
