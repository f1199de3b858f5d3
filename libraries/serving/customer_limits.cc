#include "serving/customer_limits.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace pistachiowalk {
namespace {

// A peer or data centre that does not report may still serve requests, so its
// last reported usage counts for this long. A partitioned node limits itself to
// its share.
constexpr Duration kSilentPeerRetention = std::chrono::seconds(16);
// Factor on the even share of a node that has reports of at most half of the
// nodes: callers are spread unevenly.
constexpr double kIsolatedShareFactor = 1.2;

// A node's part of the remaining limit is at least this many even parts, so
// that a customer can start at any node.
constexpr double kMinimumEvenParts = 1.0;
// A view of the others' usage up to this old lacks at most one or two requests.
constexpr Duration kFreshViewAge = std::chrono::milliseconds(400);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

WindowUsage Scale(const WindowUsage& usage, double factor) {
  WindowUsage scaled = usage;
  for (double& amount : scaled.by_age) {
    amount *= factor;
  }
  return scaled;
}

// Returns the usage `elapsed` later, taking it as even within each part. Unlike
// WindowUsage::After(), this may be an underestimate by a fraction of a part.
WindowUsage Shift(const WindowUsage& usage, Duration elapsed, Duration window) {
  const double parts = std::max(0.0, Seconds(elapsed) / Seconds(window)) *
                       static_cast<double>(kWindowParts);
  const double whole = std::floor(parts);
  const double fraction = parts - whole;
  WindowUsage shifted;
  for (size_t age = 0; age < kWindowParts; ++age) {
    const size_t first = age + static_cast<size_t>(std::min(
                                   whole, static_cast<double>(kWindowParts)));
    if (first < kWindowParts) {
      shifted.by_age[first] += usage.by_age[age] * (1.0 - fraction);
    }
    if (first + 1 < kWindowParts) {
      shifted.by_age[first + 1] += usage.by_age[age] * fraction;
    }
  }
  return shifted;
}

// Returns the usage from more than `age` ago, taking it as even within each
// part.
double UsageOlderThan(const WindowUsage& usage, Duration age, Duration window) {
  const double parts =
      Seconds(age) / Seconds(window) * static_cast<double>(kWindowParts);
  double sum = 0.0;
  for (size_t i = 0; i < kWindowParts; ++i) {
    sum += usage.by_age[i] *
           std::clamp(static_cast<double>(i + 1) - parts, 0.0, 1.0);
  }
  return sum;
}

}  // namespace

double WindowUsage::Total() const {
  return std::accumulate(by_age.begin(), by_age.end(), 0.0);
}

WindowUsage WindowUsage::After(Duration elapsed, Duration window) const {
  const auto parts = static_cast<size_t>(std::max(Duration::zero(), elapsed) /
                                         (window / int64_t{kWindowParts}));
  WindowUsage left;
  for (size_t age = 0; age + parts < kWindowParts; ++age) {
    left.by_age[age + parts] = by_age[age];
  }
  return left;
}

WindowUsage operator+(const WindowUsage& a, const WindowUsage& b) {
  WindowUsage sum;
  for (size_t age = 0; age < kWindowParts; ++age) {
    sum.by_age[age] = a.by_age[age] + b.by_age[age];
  }
  return sum;
}

WindowUsage ExtrapolateUsage(const WindowUsage& usage,
                             Duration unseen,
                             Duration window) {
  WindowUsage expected = usage;
  expected.by_age.front() +=
      usage.by_age.front() * Seconds(unseen) / (Seconds(window) / kWindowParts);
  return expected;
}

template <size_t kSize>
void SlidingWindowCounter::AddTo(std::array<Bucket, kSize>& buckets,
                                 int64_t index,
                                 double amount) {
  Bucket& bucket = buckets[static_cast<size_t>(index) % kSize];
  if (bucket.index != index) {
    bucket = Bucket{.index = index};
  }
  bucket.amount = std::max(0.0, bucket.amount + amount);
}

template <size_t kSize>
double SlidingWindowCounter::SumBetween(
    const std::array<Bucket, kSize>& buckets,
    int64_t oldest,
    int64_t newest) {
  double sum = 0.0;
  for (const Bucket& bucket : buckets) {
    if (bucket.index >= oldest && bucket.index <= newest) {
      sum += bucket.amount;
    }
  }
  return sum;
}

void SlidingWindowCounter::Add(double amount, TimePoint now, Duration window) {
  AddTo(m_buckets, IndexOf(now, BucketLength(window)), amount);
  AddTo(m_fine_buckets, IndexOf(now, FineBucketLength(window)), amount);
}

double SlidingWindowCounter::Sum(TimePoint now, Duration window) const {
  const int64_t newest = IndexOf(now, BucketLength(window));
  return SumBetween(m_buckets, newest - static_cast<int64_t>(kBuckets) + 1,
                    newest);
}

double SlidingWindowCounter::RecentSum(Duration recent,
                                       TimePoint now,
                                       Duration window) const {
  const Duration fine = FineBucketLength(window);
  if (recent <= fine * static_cast<int64_t>(kFineBuckets - 1)) {
    return SumBetween(m_fine_buckets, IndexOf(now - recent, fine),
                      IndexOf(now, fine));
  }
  const Duration length = BucketLength(window);
  return SumBetween(m_buckets, IndexOf(now - recent, length),
                    IndexOf(now, length));
}

WindowUsage SlidingWindowCounter::ByAge(TimePoint now, Duration window) const {
  const int64_t newest = IndexOf(now, BucketLength(window));
  WindowUsage usage;
  for (const Bucket& bucket : m_buckets) {
    const int64_t age = newest - bucket.index;
    if (bucket.index >= 0 && age >= 0 && age < static_cast<int64_t>(kBuckets)) {
      usage.by_age[static_cast<size_t>(age) * kWindowParts / kBuckets] +=
          bucket.amount;
    }
  }
  return usage;
}

Duration SlidingWindowCounter::TimeUntilBelow(double target,
                                              TimePoint now,
                                              Duration window) const {
  const Duration step = BucketLength(window);
  for (size_t steps = 1; steps < kBuckets; ++steps) {
    const Duration ahead = step * static_cast<int64_t>(steps);
    if (Sum(now + ahead, window) <= target) {
      return ahead;
    }
  }
  return window;
}

void CustomerLimits::SetNodes(size_t known, size_t reporting) {
  m_known_nodes = std::max<size_t>(1, known);
  m_reporting_nodes = std::clamp<size_t>(reporting, 1, m_known_nodes);
}

void CustomerLimits::SetPeerUsage(const NodeId& peer,
                                  uint64_t incarnation,
                                  const CustomerUsages& usage,
                                  const CustomerUsages& remembered,
                                  TimePoint now) {
  PeerUsage& known = m_peers[peer];
  if (known.incarnation != 0 && known.incarnation != incarnation) {
    m_past.push_back(PastUsage{.usage = known.usage, .at = known.received_at});
  }
  known = PeerUsage{.incarnation = incarnation,
                    .usage = usage,
                    .remembered = remembered,
                    .received_at = now};
  const auto has_expired = [&](const PastUsage& past) {
    return now - past.at > m_window;
  };
  std::erase_if(m_past, has_expired);
  std::erase_if(m_recorded, has_expired);
}

void CustomerLimits::SetRecordedUsage(const CustomerUsages& usage,
                                      TimePoint recorded_at) {
  m_recorded.push_back(PastUsage{.usage = usage, .at = recorded_at});
}

void CustomerLimits::SetDataCenterUsage(const DataCenterName& data_center,
                                        const NodeId& reporter,
                                        uint64_t incarnation,
                                        const CustomerUsages& usage,
                                        TimePoint now) {
  DataCenterUsage& known = m_data_centers[data_center];
  const bool is_same =
      known.reporter == reporter && known.incarnation == incarnation;
  if (!is_same && !known.reporter.IsEmpty()) {
    known.earlier.push_back(
        PastUsage{.usage = known.usage, .at = known.received_at});
  }
  known.reporter = reporter;
  known.incarnation = incarnation;
  known.usage = usage;
  known.received_at = now;
  std::erase_if(known.earlier, [&](const PastUsage& past) {
    return now - past.at > m_window;
  });
}

CustomerUsages CustomerLimits::LocalUsage(TimePoint now) const {
  std::set<CustomerName> customers;
  for (const auto& [customer, own] : m_own) {
    customers.insert(customer);
  }
  for (const auto& [peer, known] : m_peers) {
    for (const auto& [customer, usage] : known.usage) {
      customers.insert(customer);
    }
  }
  CustomerUsages local;
  for (const CustomerName& customer : customers) {
    WindowUsage usage =
        PeersUsage(customer, PastScope::kEndedIncarnations, now);
    const auto own = m_own.find(customer);
    if (own != m_own.end()) {
      usage = usage + own->second.ByAge(now, m_window);
    }
    if (usage.Total() > 0.0) {
      local[customer] = usage;
    }
  }
  return local;
}

WindowUsage CustomerLimits::DataCentersUsage(const CustomerName& customer,
                                             TimePoint now) const {
  const auto find = [&](const CustomerUsages& usages) {
    const auto it = usages.find(customer);
    return it == usages.end() ? WindowUsage{} : it->second;
  };
  WindowUsage sum;
  for (const auto& [name, known] : m_data_centers) {
    WindowUsage most = now - known.received_at > kSilentPeerRetention
                           ? WindowUsage{}
                           : find(known.usage);
    for (const PastUsage& past : known.earlier) {
      const WindowUsage left = find(past.usage).After(now - past.at, m_window);
      most = left.Total() > most.Total() ? left : most;
    }
    sum = sum + most;
  }
  return sum;
}

WindowUsage CustomerLimits::OthersUsage(const CustomerName& customer,
                                        TimePoint now) const {
  return PeersUsage(customer, PastScope::kAll, now) +
         DataCentersUsage(customer, now);
}

WindowUsage CustomerLimits::PastUsageOf(const CustomerName& customer,
                                        PastScope scope,
                                        TimePoint now) const {
  WindowUsage sum;
  const auto add = [&](const std::vector<PastUsage>& usages) {
    for (const PastUsage& past : usages) {
      const auto it = past.usage.find(customer);
      if (it != past.usage.end()) {
        sum = sum + it->second.After(now - past.at, m_window);
      }
    }
  };
  add(m_past);
  return scope == PastScope::kAll ? sum + UnexplainedRecord(customer, now)
                                  : sum;
}

WindowUsage CustomerLimits::ReportedUsage(const CustomerName& customer,
                                          TimePoint now) const {
  WindowUsage sum;
  for (const auto& [peer, known] : m_peers) {
    const auto own = known.usage.find(customer);
    if (own != known.usage.end() &&
        now - known.received_at <= kSilentPeerRetention) {
      sum = sum + own->second;
    }
  }
  return sum;
}

WindowUsage CustomerLimits::UnexplainedRecord(const CustomerName& customer,
                                              TimePoint now) const {
  WindowUsage most;
  if (m_recorded.empty()) {
    return most;
  }
  WindowUsage reported =
      ReportedUsage(customer, now) + DataCentersUsage(customer, now) +
      PastUsageOf(customer, PastScope::kEndedIncarnations, now);
  const auto own = m_own.find(customer);
  if (own != m_own.end()) {
    reported = reported + own->second.ByAge(now, m_window);
  }
  for (const PastUsage& record : m_recorded) {
    const auto it = record.usage.find(customer);
    if (it == record.usage.end()) {
      continue;
    }
    const Duration age = now - record.at;
    const WindowUsage left = Shift(it->second, age, m_window);
    // NOTE: The newest bucket of a counter is not full, so a part may be up to
    // one bucket younger than its position says.
    const double explained = UsageOlderThan(
        reported, age + SlidingWindowCounter::BucketLength(m_window), m_window);
    const double unexplained = left.Total() - explained;
    if (unexplained > most.Total()) {
      most = Scale(left, unexplained / left.Total());
    }
  }
  return most;
}

WindowUsage CustomerLimits::PeersUsage(const CustomerName& customer,
                                       PastScope scope,
                                       TimePoint now) const {
  // NOTE: The nodes remember the same ended incarnations, so the largest of
  // their values counts rather than the sum.
  WindowUsage past = PastUsageOf(customer, scope, now);
  for (const auto& [peer, known] : m_peers) {
    const Duration age = now - known.received_at;
    const auto remembered =
        scope == PastScope::kAll && age <= kSilentPeerRetention
            ? known.remembered.find(customer)
            : known.remembered.end();
    if (remembered != known.remembered.end()) {
      const WindowUsage left = remembered->second.After(age, m_window);
      past = left.Total() > past.Total() ? left : past;
    }
  }
  return ReportedUsage(customer, now) + past;
}

WindowUsage CustomerLimits::TotalUsage(const CustomerName& customer,
                                       TimePoint now) const {
  const WindowUsage peers = OthersUsage(customer, now);
  const auto own = m_own.find(customer);
  return own == m_own.end() ? peers : peers + own->second.ByAge(now, m_window);
}

double CustomerLimits::AllowedUsage(const CustomerLimit& limit) const {
  return limit.rate_per_second * Seconds(m_window) + limit.burst;
}

LimitDecision CustomerLimits::TryAcquire(const CustomerName& customer,
                                         const CustomerLimit& limit,
                                         double amount,
                                         TimePoint now) {
  SlidingWindowCounter& own = m_own[customer];
  if (limit.rate_per_second <= 0.0) {
    own.Add(amount, now, m_window);
    return LimitDecision{};
  }
  const double allowed = AllowedUsage(limit);
  const double own_usage = own.Sum(now, m_window);
  const double others_usage = OthersUsage(customer, now).Total();
  double own_allowed = allowed - others_usage;
  const bool is_isolated = m_reporting_nodes * 2 <= m_known_nodes;
  if (is_isolated) {
    const double share =
        allowed / static_cast<double>(m_known_nodes) * kIsolatedShareFactor;
    own_allowed = std::min(own_allowed, share);
  }
  if (m_unreported.contains(customer)) {
    own_allowed =
        std::min(own_allowed, allowed / static_cast<double>(m_known_nodes));
  }
  // The limit that was left before this node's most recent usage, which the
  // others may not have seen, just as this node may not have seen theirs.
  // NOTE: A refund is subtracted where it arrives, so the recent usage may seem
  // to be more than all.
  const double recent =
      std::min(own_usage, own.RecentSum(m_staleness, now, m_window));
  const double left = allowed - others_usage - (own_usage - recent);
  const double total = std::max(1.0, own_usage + others_usage);
  // NOTE: A large request may exceed a small customer's part on every node, so
  // the first request of the staleness period may take a larger part, growing
  // with the freshness of the view.
  // Nodes that do not report may take their parts as well, as after a restart
  // of all.
  const double even =
      kMinimumEvenParts /
      static_cast<double>(is_isolated ? m_known_nodes : m_reporting_nodes);
  const double first = Seconds(kFreshViewAge) / Seconds(m_staleness);
  const double least =
      recent > 0.0 || is_isolated ? even : std::max(even, first);
  const double part = std::min(1.0, std::max(least, own_usage / total));
  own_allowed =
      std::min(own_allowed, own_usage - recent + std::max(0.0, left) * part);
  LimitDecision decision{.own_usage = own_usage,
                         .others_usage = others_usage,
                         .own_allowed = own_allowed};
  if (own_usage + amount <= own_allowed) {
    own.Add(amount, now, m_window);
    return decision;
  }
  decision.is_within = false;
  decision.retry_after =
      own.TimeUntilBelow(std::max(0.0, own_allowed - amount), now, m_window);
  return decision;
}

void CustomerLimits::Refund(const CustomerName& customer,
                            double amount,
                            TimePoint now) {
  m_own[customer].Add(-amount, now, m_window);
}

CustomerUsages CustomerLimits::OwnUsage(TimePoint now) const {
  CustomerUsages usage;
  for (const auto& [customer, own] : m_own) {
    const WindowUsage by_age = own.ByAge(now, m_window);
    if (by_age.Total() > 0.0) {
      usage[customer] = by_age;
    }
  }
  return usage;
}

CustomerUsages CustomerLimits::RememberedUsage(TimePoint now) const {
  // A node that has just started knows no other node.
  const bool knows_reports =
      m_known_nodes > 1 && m_reporting_nodes * 2 > m_known_nodes;
  CustomerUsages usage;
  for (const PastUsage& past : m_past) {
    for (const auto& [customer, used] : past.usage) {
      const WindowUsage left = used.After(now - past.at, m_window);
      if (left.Total() > 0.0) {
        usage[customer] = usage[customer] + left;
      }
    }
  }
  std::set<CustomerName> recorded;
  for (const PastUsage& record : m_recorded) {
    for (const auto& [customer, used] : record.usage) {
      recorded.insert(customer);
    }
  }
  for (const CustomerName& customer : recorded) {
    const WindowUsage left = UnexplainedRecord(customer, now);
    if (knows_reports && left.Total() > 0.0) {
      usage[customer] = usage[customer] + left;
    }
  }
  return usage;
}

}  // namespace pistachiowalk
