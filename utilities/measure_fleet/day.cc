#include "day.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace pistachiowalk::measure {
namespace {

constexpr int kMinutesPerDay = 1440;
constexpr int kSecondsPerMinute = 60;
constexpr int kPriceStepMinutes = 5;
constexpr double kLowestPriceFactor = 0.6;
constexpr double kHighestPriceFactor = 2.0;
constexpr int kRefusalIntervalsPerPlace = 3;
constexpr int kReclaimAtStartIntervals = 2;
constexpr int kSingleReclaimWaves = 3;
constexpr int kBursts = 2;
constexpr double kBurstFactor = 1.4;

using Generator = std::mt19937_64;

double Uniform(Generator& generator, double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(generator);
}

int UniformInt(Generator& generator, int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(generator);
}

std::vector<double> DrawPrices(Generator& generator) {
  std::vector<double> factors(kMinutesPerDay);
  std::normal_distribution<double> noise(0.0, 0.06);
  double factor = Uniform(generator, 0.8, 1.3);
  for (int minute = 0; minute < kMinutesPerDay; ++minute) {
    if (minute % kPriceStepMinutes == 0) {
      factor += 0.05 * (1.0 - factor) + noise(generator);
      factor = std::clamp(factor, kLowestPriceFactor, kHighestPriceFactor);
    }
    factors[minute] = factor;
  }
  return factors;
}

PlaceInterval DrawInterval(Generator& generator,
                           size_t place,
                           int shortest_s,
                           int longest_s) {
  const int from = UniformInt(generator, 0, kSecondsPerDay - 1);
  return PlaceInterval{
      .place = place,
      .from_s = from,
      .to_s = from + UniformInt(generator, shortest_s, longest_s)};
}

// Raises prices by half, up to the highest factor, while a place refuses
// starts.
void RaisePrices(Day& day) {
  for (const PlaceInterval& interval : day.refusals) {
    const int last =
        std::min(interval.to_s / kSecondsPerMinute, kMinutesPerDay);
    for (int minute = interval.from_s / kSecondsPerMinute; minute < last;
         ++minute) {
      double& factor = day.price_factors[interval.place][minute];
      factor = std::min(factor * 1.5, kHighestPriceFactor);
    }
  }
}

void DrawReclaimWaves(Generator& generator, Day& day) {
  const auto draw_place = [&] {
    return static_cast<size_t>(
        UniformInt(generator, 0, static_cast<int>(day.places) - 1));
  };
  const auto draw_time = [&] {
    return UniformInt(generator, 1800, kSecondsPerDay - 1800);
  };
  for (int i = 0; i < kSingleReclaimWaves; ++i) {
    day.waves.push_back(
        ReclaimWave{.place = draw_place(), .at_s = draw_time()});
  }
  // Two places, one soon after the other.
  const ReclaimWave first{.place = draw_place(), .at_s = draw_time()};
  day.waves.push_back(first);
  day.waves.push_back(
      ReclaimWave{.place = (first.place + 1) % day.places,
                  .at_s = first.at_s + UniformInt(generator, 20, 480)});
  day.waves.push_back(ReclaimWave{.place = draw_place(),
                                  .at_s = draw_time(),
                                  .is_whole_data_center = true});
  std::sort(day.waves.begin(), day.waves.end(),
            [](const ReclaimWave& a, const ReclaimWave& b) {
              return a.at_s < b.at_s;
            });
  for (const ReclaimWave& wave : day.waves) {
    day.refusals.push_back(
        PlaceInterval{.place = wave.place,
                      .from_s = wave.at_s,
                      .to_s = wave.at_s + UniformInt(generator, 600, 2400)});
  }
}

void DrawDemand(Generator& generator, Day& day) {
  constexpr double kNightDemand = 0.25;
  constexpr double kPeakMinute = 870.0;
  constexpr int kBurstMinutes = 10;
  day.demand.resize(kMinutesPerDay);
  std::normal_distribution<double> noise(0.0, 0.02);
  double drift = 0.0;
  for (int minute = 0; minute < kMinutesPerDay; ++minute) {
    const double phase =
        2.0 * std::numbers::pi * (minute - kPeakMinute) / kMinutesPerDay;
    drift = 0.9 * drift + noise(generator);
    day.demand[minute] = std::max(
        0.05, kNightDemand +
                  (1.0 - kNightDemand) * (1.0 + std::cos(phase)) / 2 + drift);
  }
  for (int i = 0; i < kBursts; ++i) {
    const int from = UniformInt(generator, 0, kMinutesPerDay - 20);
    for (int minute = from; minute < from + kBurstMinutes; ++minute) {
      const double ramp = std::min(1.0, (minute - from + 1) / 3.0);
      day.demand[minute] *= 1.0 + (kBurstFactor - 1.0) * ramp;
    }
  }
}

}  // namespace

double Day::PriceFactor(size_t place, int second) const {
  return price_factors[place][std::max(second, 0) / kSecondsPerMinute];
}

double Day::Demand(int second) const {
  return demand[std::max(second, 0) / kSecondsPerMinute];
}

bool Day::IsRefusing(size_t place, int second) const {
  return std::any_of(refusals.begin(), refusals.end(),
                     [&](const PlaceInterval& interval) {
                       return interval.Covers(place, second);
                     });
}

bool Day::IsReclaimingAtStart(size_t place, int second) const {
  return std::any_of(reclaims_at_start.begin(), reclaims_at_start.end(),
                     [&](const PlaceInterval& interval) {
                       return interval.Covers(place, second);
                     });
}

Day DrawDay(size_t places, uint64_t seed) {
  Generator generator(seed);
  Day day;
  day.places = places;
  for (size_t place = 0; place < places; ++place) {
    day.price_factors.push_back(DrawPrices(generator));
    for (int i = 0; i < kRefusalIntervalsPerPlace; ++i) {
      day.refusals.push_back(DrawInterval(generator, place, 1200, 5400));
    }
  }
  for (int i = 0; i < kReclaimAtStartIntervals; ++i) {
    const int place = UniformInt(generator, 0, static_cast<int>(places) - 1);
    day.reclaims_at_start.push_back(
        DrawInterval(generator, static_cast<size_t>(place), 1200, 2400));
  }
  DrawReclaimWaves(generator, day);
  RaisePrices(day);
  DrawDemand(generator, day);
  return day;
}

std::vector<Workload> WorkloadsOf(const Bundle& bundle) {
  const bool is_association = bundle.name == "rebozo";
  std::vector<Workload> workloads;
  for (const Service& service : bundle.services) {
    Workload workload;
    workload.service = service;
    if (service.kind == ServiceKind::kPlain) {
      workload.peak_slots = 1.0;
      workload.service_time_s = 0.05;
      workload.static_vms = 3;
    } else if (is_association) {
      // Long consults with short prompts.
      workload.peak_slots = 200.0;
      workload.service_time_s = 8.0;
      workload.prefill_time_s = 0.2;
      workload.context_tokens = 1500;
      workload.cached_tokens = 20000;
      workload.static_vms = 20;
    } else {
      // Long fault histories.
      workload.peak_slots = 100.0;
      workload.service_time_s = 10.0;
      workload.prefill_time_s = 0.7;
      workload.context_tokens = 8000;
      workload.cached_tokens = 120000;
      workload.static_vms = 10;
    }
    workloads.push_back(workload);
  }
  return workloads;
}

}  // namespace pistachiowalk::measure
