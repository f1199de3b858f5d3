#pragma once

#include <chrono>
#include <map>

#include "base/ids.h"

namespace pistachiowalk {

// Forecast capacity requirements of a service.
struct ServiceNeed {
  ServiceName service;
  // Concurrent requests by region of the callers.
  std::map<RegionName, double> demand_slots;
  bool is_protected = false;
  // Target share of busy slots when no capacity is lost.
  double normal_utilisation = 0.7;
  // Square-root staffing while a data centre is lost: demand d needs
  // d + margin * sqrt(d) slots for the latency target to be met.
  double survivor_margin = 1.0;
  // How long a request may queue and still meet its deadline.
  std::chrono::duration<double> queue_slack{0};
  // Learned time until a replacement VM serves, start and loading included.
  std::chrono::duration<double> replacement_time{0};
  // Cost of one reclaim: the loading of the VM and its cached tokens.
  double reclaim_cost = 0.0;
  // Cost per hour of one slot that serves callers of another region.
  double cross_region_cost_per_slot_hour = 0.0;

  friend auto operator<=>(const ServiceNeed&, const ServiceNeed&) = default;
};

// Slots that meet the latency target for `demand_slots` while the replacements
// for a lost data centre start.
double SurvivorSlots(const ServiceNeed& need, double demand_slots);

// Sum of the demand of all regions.
double TotalDemand(const ServiceNeed& need);

}  // namespace pistachiowalk
