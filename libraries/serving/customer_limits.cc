#include "serving/customer_limits.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// A peer that is not heard may still serve; its last use counts this long, as
// a node that is cut off keeps to its share by itself.
constexpr Duration kSilentPeerMemory = std::chrono::seconds(16);
// How far above its even share a node goes that hears less than half of the
// others: callers are spread unevenly.
constexpr double kAloneFactor = 1.2;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

int64_t SlidingUse::IndexOf(TimePoint now, Duration window) {
  return now.time_since_epoch() / (window / static_cast<int64_t>(kBuckets));
}

void SlidingUse::Add(double amount, TimePoint now, Duration window) {
  const int64_t index = IndexOf(now, window);
  Bucket& bucket = m_buckets[static_cast<size_t>(index) % kBuckets];
  if (bucket.index != index) {
    bucket = Bucket{.index = index};
  }
  bucket.amount = std::max(0.0, bucket.amount + amount);
}

double SlidingUse::Sum(TimePoint now, Duration window) const {
  const int64_t newest = IndexOf(now, window);
  double sum = 0.0;
  for (const Bucket& bucket : m_buckets) {
    if (bucket.index > newest - static_cast<int64_t>(kBuckets) &&
        bucket.index <= newest) {
      sum += bucket.amount;
    }
  }
  return sum;
}

Duration SlidingUse::TimeUntilBelow(double target,
                                    TimePoint now,
                                    Duration window) const {
  const Duration step = window / static_cast<int64_t>(kBuckets);
  for (size_t steps = 1; steps < kBuckets; ++steps) {
    const Duration ahead = step * static_cast<int64_t>(steps);
    if (Sum(now + ahead, window) <= target) {
      return ahead;
    }
  }
  return window;
}

void CustomerLimits::SetNodes(size_t known, size_t heard) {
  m_known_nodes = std::max<size_t>(1, known);
  m_heard_nodes = std::clamp<size_t>(heard, 1, m_known_nodes);
}

void CustomerLimits::SetPeerUse(const NodeId& peer,
                                uint64_t incarnation,
                                const std::map<CustomerName, WindowUse>& use,
                                TimePoint now) {
  PeerUse& known = m_peers[peer];
  if (known.incarnation != 0 && known.incarnation != incarnation) {
    m_past.push_back(PastUse{.use = known.use, .at = known.heard_at});
  }
  known = PeerUse{.incarnation = incarnation, .use = use, .heard_at = now};
  std::erase_if(m_past,
                [&](const PastUse& past) { return now - past.at > m_window; });
}

void CustomerLimits::SetRecordedUse(
    const std::map<CustomerName, WindowUse>& use,
    TimePoint recorded_at) {
  m_past.push_back(PastUse{.use = use, .at = recorded_at});
}

double CustomerLimits::PeersUse(const CustomerName& customer,
                                TimePoint now) const {
  double sum = 0.0;
  for (const auto& [peer, known] : m_peers) {
    if (now - known.heard_at > kSilentPeerMemory) {
      continue;
    }
    const auto it = known.use.find(customer);
    if (it != known.use.end()) {
      sum += it->second.amount;
    }
  }
  for (const PastUse& past : m_past) {
    // Past use is taken to be spread evenly over its window.
    const double left = 1.0 - Seconds(now - past.at) / Seconds(m_window);
    const auto it = past.use.find(customer);
    if (it != past.use.end()) {
      sum += it->second.amount * std::clamp(left, 0.0, 1.0);
    }
  }
  return sum;
}

double CustomerLimits::TotalUse(const CustomerName& customer,
                                TimePoint now) const {
  const auto own = m_own.find(customer);
  return PeersUse(customer, now) +
         (own == m_own.end() ? 0.0 : own->second.Sum(now, m_window));
}

double CustomerLimits::Allowed(const CustomerLimit& limit) const {
  return limit.rate_per_second * Seconds(m_window) + limit.burst;
}

LimitDecision CustomerLimits::Take(const CustomerName& customer,
                                   const CustomerLimit& limit,
                                   double amount,
                                   TimePoint now) {
  SlidingUse& own = m_own[customer];
  if (limit.rate_per_second <= 0.0) {
    own.Add(amount, now, m_window);
    return LimitDecision{};
  }
  const double allowed = Allowed(limit);
  const double own_use = own.Sum(now, m_window);
  const double peers_use = PeersUse(customer, now);
  double own_allowed = allowed - peers_use;
  if (m_heard_nodes * 2 <= m_known_nodes) {
    const double share =
        allowed / static_cast<double>(m_known_nodes) * kAloneFactor;
    own_allowed = std::min(own_allowed, share);
  }
  if (own_use + amount <= own_allowed) {
    own.Add(amount, now, m_window);
    return LimitDecision{};
  }
  return LimitDecision{.is_within = false,
                       .retry_after = own.TimeUntilBelow(
                           std::max(0.0, own_allowed - amount), now, m_window)};
}

void CustomerLimits::GiveBack(const CustomerName& customer,
                              double amount,
                              TimePoint now) {
  m_own[customer].Add(-amount, now, m_window);
}

std::map<CustomerName, WindowUse> CustomerLimits::OwnUse(TimePoint now) const {
  std::map<CustomerName, WindowUse> use;
  for (const auto& [customer, own] : m_own) {
    const double sum = own.Sum(now, m_window);
    if (sum > 0.0) {
      use[customer] = WindowUse{.amount = sum};
    }
  }
  return use;
}

}  // namespace pistachiowalk
