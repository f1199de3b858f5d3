#include "serving/customer_limits.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace pistachiowalk {
namespace {

// A peer or data centre that is not heard may still serve; its last use counts
// this long, as a node that is cut off keeps to its share by itself.
constexpr Duration kSilentPeerMemory = std::chrono::seconds(16);
// How far above its even share a node goes that hears less than half of the
// others: callers are spread unevenly.
constexpr double kAloneFactor = 1.2;

// A node's part of what is left is at least this many even parts, so that a
// customer may begin anywhere.
constexpr double kLeastPart = 1.0;
// A view of the others' use that is no older than this misses one or two
// requests at most.
constexpr Duration kFreshView = std::chrono::milliseconds(400);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double WindowUse::Total() const {
  return std::accumulate(by_age.begin(), by_age.end(), 0.0);
}

WindowUse WindowUse::After(Duration elapsed, Duration window) const {
  const auto parts = static_cast<size_t>(std::max(Duration::zero(), elapsed) /
                                         (window / int64_t{kUseAges}));
  WindowUse left;
  for (size_t age = 0; age + parts < kUseAges; ++age) {
    left.by_age[age + parts] = by_age[age];
  }
  return left;
}

WindowUse operator+(const WindowUse& a, const WindowUse& b) {
  WindowUse sum;
  for (size_t age = 0; age < kUseAges; ++age) {
    sum.by_age[age] = a.by_age[age] + b.by_age[age];
  }
  return sum;
}

int64_t SlidingUse::IndexOf(TimePoint now, Duration window) {
  return now.time_since_epoch() / (window / static_cast<int64_t>(kBuckets));
}

WindowUse ExpectedUse(const WindowUse& use, Duration unseen, Duration window) {
  WindowUse expected = use;
  expected.by_age.front() +=
      use.by_age.front() * Seconds(unseen) / (Seconds(window) / kUseAges);
  return expected;
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

double SlidingUse::RecentSum(Duration recent,
                             TimePoint now,
                             Duration window) const {
  const int64_t newest = IndexOf(now, window);
  const int64_t oldest = IndexOf(now - recent, window);
  double sum = 0.0;
  for (const Bucket& bucket : m_buckets) {
    if (bucket.index >= oldest && bucket.index <= newest) {
      sum += bucket.amount;
    }
  }
  return sum;
}

WindowUse SlidingUse::ByAge(TimePoint now, Duration window) const {
  const int64_t newest = IndexOf(now, window);
  WindowUse use;
  for (const Bucket& bucket : m_buckets) {
    const int64_t age = newest - bucket.index;
    if (bucket.index >= 0 && age >= 0 && age < static_cast<int64_t>(kBuckets)) {
      use.by_age[static_cast<size_t>(age) * kUseAges / kBuckets] +=
          bucket.amount;
    }
  }
  return use;
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
                                const CustomerUses& use,
                                const CustomerUses& remembered,
                                TimePoint now) {
  PeerUse& known = m_peers[peer];
  if (known.incarnation != 0 && known.incarnation != incarnation) {
    m_past.push_back(PastUse{.use = known.use, .at = known.heard_at});
  }
  known = PeerUse{.incarnation = incarnation,
                  .use = use,
                  .remembered = remembered,
                  .heard_at = now};
  std::erase_if(m_past,
                [&](const PastUse& past) { return now - past.at > m_window; });
}

void CustomerLimits::SetRecordedUse(const CustomerUses& use,
                                    TimePoint recorded_at) {
  m_recorded.push_back(PastUse{.use = use, .at = recorded_at});
}

void CustomerLimits::SetDataCenterUse(const DataCenterName& data_center,
                                      const NodeId& teller,
                                      uint64_t incarnation,
                                      const CustomerUses& use,
                                      TimePoint now) {
  DataCenterUse& known = m_data_centers[data_center];
  const bool is_same =
      known.teller == teller && known.incarnation == incarnation;
  if (!is_same && !known.teller.IsEmpty()) {
    known.earlier.push_back(PastUse{.use = known.use, .at = known.heard_at});
  }
  known.teller = teller;
  known.incarnation = incarnation;
  known.use = use;
  known.heard_at = now;
  std::erase_if(known.earlier,
                [&](const PastUse& past) { return now - past.at > m_window; });
}

CustomerUses CustomerLimits::NearUse(TimePoint now) const {
  std::set<CustomerName> customers;
  for (const auto& [customer, own] : m_own) {
    customers.insert(customer);
  }
  for (const auto& [peer, known] : m_peers) {
    for (const auto& [customer, use] : known.use) {
      customers.insert(customer);
    }
  }
  CustomerUses near;
  for (const CustomerName& customer : customers) {
    WindowUse use = PeersUse(customer, PastScope::kEndedIncarnations, now);
    const auto own = m_own.find(customer);
    if (own != m_own.end()) {
      use = use + own->second.ByAge(now, m_window);
    }
    if (use.Total() > 0.0) {
      near[customer] = use;
    }
  }
  return near;
}

WindowUse CustomerLimits::DataCentersUse(const CustomerName& customer,
                                         TimePoint now) const {
  const auto find = [&](const CustomerUses& uses) {
    const auto it = uses.find(customer);
    return it == uses.end() ? WindowUse{} : it->second;
  };
  WindowUse sum;
  for (const auto& [name, known] : m_data_centers) {
    WindowUse most = now - known.heard_at > kSilentPeerMemory ? WindowUse{}
                                                              : find(known.use);
    for (const PastUse& past : known.earlier) {
      const WindowUse left = find(past.use).After(now - past.at, m_window);
      most = left.Total() > most.Total() ? left : most;
    }
    sum = sum + most;
  }
  return sum;
}

WindowUse CustomerLimits::OthersUse(const CustomerName& customer,
                                    TimePoint now) const {
  return PeersUse(customer, PastScope::kAll, now) +
         DataCentersUse(customer, now);
}

WindowUse CustomerLimits::PastUseOf(const CustomerName& customer,
                                    PastScope scope,
                                    TimePoint now) const {
  WindowUse sum;
  const auto add = [&](const std::vector<PastUse>& uses) {
    for (const PastUse& past : uses) {
      const auto it = past.use.find(customer);
      if (it != past.use.end()) {
        sum = sum + it->second.After(now - past.at, m_window);
      }
    }
  };
  add(m_past);
  if (scope == PastScope::kAll) {
    add(m_recorded);
  }
  return sum;
}

WindowUse CustomerLimits::PeersUse(const CustomerName& customer,
                                   PastScope scope,
                                   TimePoint now) const {
  WindowUse sum;
  // NOTE: The nodes remember the same incarnations, so the most that one of
  // them remembers counts, and not the sum.
  WindowUse past = PastUseOf(customer, scope, now);
  for (const auto& [peer, known] : m_peers) {
    const Duration age = now - known.heard_at;
    if (age > kSilentPeerMemory) {
      continue;
    }
    const auto own = known.use.find(customer);
    if (own != known.use.end()) {
      sum = sum + own->second;
    }
    const auto remembered = scope == PastScope::kAll
                                ? known.remembered.find(customer)
                                : known.remembered.end();
    if (remembered != known.remembered.end()) {
      const WindowUse left = remembered->second.After(age, m_window);
      past = left.Total() > past.Total() ? left : past;
    }
  }
  return sum + past;
}

WindowUse CustomerLimits::TotalUse(const CustomerName& customer,
                                   TimePoint now) const {
  const WindowUse peers = OthersUse(customer, now);
  const auto own = m_own.find(customer);
  return own == m_own.end() ? peers : peers + own->second.ByAge(now, m_window);
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
  const double peers_use = OthersUse(customer, now).Total();
  double own_allowed = allowed - peers_use;
  if (m_heard_nodes * 2 <= m_known_nodes) {
    const double share =
        allowed / static_cast<double>(m_known_nodes) * kAloneFactor;
    own_allowed = std::min(own_allowed, share);
  }
  // What was left before this node's newest use, which the others may not know
  // any more than this node knows theirs.
  const double recent = own.RecentSum(m_staleness, now, m_window);
  const double left = allowed - peers_use - (own_use - recent);
  const double total = std::max(1.0, own_use + peers_use);
  // NOTE: A large request may exceed a small customer's part on every node, so
  // a node's first one in this time may take more, the fresher the view is.
  const double even = kLeastPart / static_cast<double>(m_heard_nodes);
  const double first = Seconds(kFreshView) / Seconds(m_staleness);
  const double least = recent > 0.0 ? even : std::max(even, first);
  const double part = std::min(1.0, std::max(least, own_use / total));
  own_allowed =
      std::min(own_allowed, own_use - recent + std::max(0.0, left) * part);
  LimitDecision decision{
      .own_use = own_use, .others_use = peers_use, .own_allowed = own_allowed};
  if (own_use + amount <= own_allowed) {
    own.Add(amount, now, m_window);
    return decision;
  }
  decision.is_within = false;
  decision.retry_after =
      own.TimeUntilBelow(std::max(0.0, own_allowed - amount), now, m_window);
  return decision;
}

void CustomerLimits::GiveBack(const CustomerName& customer,
                              double amount,
                              TimePoint now) {
  m_own[customer].Add(-amount, now, m_window);
}

CustomerUses CustomerLimits::OwnUse(TimePoint now) const {
  CustomerUses use;
  for (const auto& [customer, own] : m_own) {
    const WindowUse by_age = own.ByAge(now, m_window);
    if (by_age.Total() > 0.0) {
      use[customer] = by_age;
    }
  }
  return use;
}

CustomerUses CustomerLimits::RememberedUse(TimePoint now) const {
  CustomerUses use;
  for (const std::vector<PastUse>* uses : {&m_past, &m_recorded}) {
    for (const PastUse& past : *uses) {
      for (const auto& [customer, used] : past.use) {
        const WindowUse left = used.After(now - past.at, m_window);
        if (left.Total() > 0.0) {
          use[customer] = use[customer] + left;
        }
      }
    }
  }
  return use;
}

}  // namespace pistachiowalk
