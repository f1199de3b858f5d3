#include "routing/limit_share.h"

#include <algorithm>
#include <chrono>

namespace pistachiowalk {
namespace {

// Part of a limit that is split evenly, for members without demand so far.
constexpr double kEvenFraction = 0.1;
// Delay before a share is raised; longer than a sum takes to reach every
// member.
constexpr Duration kRaiseDelay = std::chrono::milliseconds(2500);

}  // namespace

double SplitLimit(double limit, double reported_demand, const DemandSum& sum) {
  const double members = std::max(1U, sum.members);
  const double even = kEvenFraction * limit / members;
  if (sum.total <= 0.0) {
    return limit / members;
  }
  const double part = std::min(1.0, reported_demand / sum.total);
  return even + (limit - even * members) * part;
}

LimitShare::LimitShare(double limit, uint32_t members) : m_limit(limit) {
  const double even = kEvenFraction * limit / std::max(1U, members);
  m_targets.push_back(Target{.since = TimePoint::min(), .share = even});
}

void LimitShare::AddTarget(double share, TimePoint now) {
  m_targets.push_back(Target{.since = now, .share = share});
  // Of the targets older than the delay only the newest counts.
  while (m_targets.size() > 1 && m_targets[1].since <= now - kRaiseDelay) {
    m_targets.erase(m_targets.begin());
  }
}

void LimitShare::Apply(double reported_demand,
                       const DemandSum& sum,
                       TimePoint now) {
  if (m_has_sum && sum.summed_at <= m_sum.summed_at) {
    return;
  }
  // An old sum might raise the share to a part that others have taken since.
  if (now - sum.summed_at > kRaiseDelay) {
    return;
  }
  m_has_sum = true;
  m_sum = sum;
  m_reported_demand = reported_demand;
  AddTarget(SplitLimit(m_limit, reported_demand, sum), now);
}

void LimitShare::SetLimit(double limit, TimePoint now) {
  if (limit == m_limit) {
    return;
  }
  const double factor = m_limit > 0.0 ? limit / m_limit : 0.0;
  const double latest = m_targets.back().share;
  m_limit = limit;
  AddTarget(
      m_has_sum ? SplitLimit(limit, m_reported_demand, m_sum) : latest * factor,
      now);
}

double LimitShare::Share(TimePoint now) const {
  double share = m_targets.back().share;
  for (size_t i = 0; i < m_targets.size(); ++i) {
    const bool is_superseded =
        i + 1 < m_targets.size() && m_targets[i + 1].since <= now - kRaiseDelay;
    if (!is_superseded) {
      share = std::min(share, m_targets[i].share);
    }
  }
  return share;
}

}  // namespace pistachiowalk
