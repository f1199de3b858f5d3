#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace pistachiowalk {

// Demand for one customer's limit, summed over the members of a group: the
// nodes of a data centre, or all data centres.
struct DemandSum {
  double total = 0.0;
  uint32_t members = 1;
  // When the summing member computed the sum.
  TimePoint summed_at{};

  friend auto operator<=>(const DemandSum&, const DemandSum&) = default;
};

// Returns a member's part of `limit`: a tenth is split evenly, the rest in
// proportion to demand. `reported_demand` is the member's demand as included in
// the sum. The parts of all members of one sum add up to the limit.
double SplitLimit(double limit, double reported_demand, const DemandSum& sum);

// One member's part of a limit over time. It is lowered at once and raised only
// after the others had time to lower theirs. Without recent sums it is never
// raised, so that a partitioned group stays within its last share.
class LimitShare {
 public:
  // `members` is the member count from the membership, until the first sum
  // arrives.
  LimitShare(double limit, uint32_t members);

  void Apply(double reported_demand, const DemandSum& sum, TimePoint now);
  // Sets a new limit, from a new bundle or from the share of the enclosing
  // group.
  void SetLimit(double limit, TimePoint now);
  // Returns the part that may be used now.
  double Share(TimePoint now) const;

 private:
  struct Target {
    TimePoint since{};
    double share = 0.0;
  };

  void AddTarget(double share, TimePoint now);

  double m_limit;
  double m_reported_demand = 0.0;
  DemandSum m_sum;
  bool m_has_sum = false;
  // Targets within the raise delay, oldest first; the smallest is in force.
  std::vector<Target> m_targets;
};

}  // namespace pistachiowalk
