#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "bundle/bundle.h"

// A day of prices, refusals, reclaim waves and demand, drawn from a seed.
namespace pistachiowalk::measure {

inline constexpr int kSecondsPerDay = 86400;
// Seconds before 0 bring the fleet up under the conditions of second 0.
inline constexpr int kWarmUpSeconds = 3600;

// A time interval at one place, by the place's index.
struct PlaceInterval {
  size_t place = 0;
  int from_s = 0;
  int to_s = 0;

  bool Covers(size_t at_place, int second) const {
    return place == at_place && from_s <= second && second < to_s;
  }
};

// All reclaimable VMs of a place, or all its VMs when the whole data centre
// goes, are lost at once.
struct ReclaimWave {
  size_t place = 0;
  int at_s = 0;
  bool is_whole_data_center = false;
};

// The conditions of the day, which do not depend on the policy.
struct Day {
  size_t places = 0;
  // Price factor of reclaimable VMs by place and minute.
  std::vector<std::vector<double>> price_factors;
  std::vector<PlaceInterval> refusals;
  std::vector<PlaceInterval> reclaims_at_start;
  // Ordered by time.
  std::vector<ReclaimWave> waves;
  // Demand as a share of the peak's, by minute.
  std::vector<double> demand;

  double PriceFactor(size_t place, int second) const;
  double Demand(int second) const;
  bool IsRefusing(size_t place, int second) const;
  bool IsReclaimingAtStart(size_t place, int second) const;
};

Day DrawDay(size_t places, uint64_t seed);

// The load of a service; its other properties are in the bundle.
struct Workload {
  Service service;
  // Concurrent requests at the peak.
  double peak_slots = 0.0;
  double service_time_s = 0.0;
  double prefill_time_s = 0.0;
  uint32_t context_tokens = 0;
  // Cached prompt tokens of one warm VM.
  uint32_t cached_tokens = 0;
  // Number of VMs of the static policy.
  uint32_t static_vms = 0;
};

std::vector<Workload> WorkloadsOf(const Bundle& bundle);

}  // namespace pistachiowalk::measure
