#pragma once

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace pistachiowalk {

// Number of equal parts of the window by which nodes report their usage.
constexpr size_t kWindowParts = 4;

// One customer's usage within the window, by age: the first part is the most
// recent quarter of the window.
struct WindowUsage {
  std::array<double, kWindowParts> by_age{};

  double Total() const;
  // The usage that is still in the window after `elapsed`. Only whole parts
  // expire, so the result is never an underestimate.
  WindowUsage After(Duration elapsed, Duration window) const;

  friend auto operator<=>(const WindowUsage&, const WindowUsage&) = default;
};

WindowUsage operator+(const WindowUsage& a, const WindowUsage& b);

// Extrapolates the usage by `unseen` at the rate of the most recent part. A
// stored record lacks the usage between its writing and the end of all nodes.
WindowUsage ExtrapolateUsage(const WindowUsage& usage,
                             Duration unseen,
                             Duration window);

using CustomerUsages = std::map<CustomerName, WindowUsage>;

struct CustomerLimit {
  double rate_per_second = 0.0;
  double burst = 0.0;

  friend auto operator<=>(const CustomerLimit&, const CustomerLimit&) = default;
};

// Counts one customer's usage on one node over a sliding window.
class SlidingWindowCounter {
 public:
  void Add(double amount, TimePoint now, Duration window);
  double Sum(TimePoint now, Duration window) const;
  // Usage of the last `recent`, rounded up to whole buckets, which are finer
  // for the last quarter of the window.
  double RecentSum(Duration recent, TimePoint now, Duration window) const;
  WindowUsage ByAge(TimePoint now, Duration window) const;
  // Usage expires in steps of this length.
  static Duration BucketLength(Duration window) {
    return window / static_cast<int64_t>(kBuckets);
  }
  // Time until the usage falls to `target`, at most the window.
  Duration TimeUntilBelow(double target, TimePoint now, Duration window) const;

 private:
  // Buckets per window; usage expires up to one bucket late.
  static constexpr size_t kBuckets = 16;
  struct Bucket {
    int64_t index = -1;
    double amount = 0.0;
  };

  // Finer buckets per bucket, and how many of them are kept.
  static constexpr int64_t kFineParts = 8;
  static constexpr size_t kFineBuckets = 32;

  static int64_t IndexOf(TimePoint now, Duration length) {
    return now.time_since_epoch() / length;
  }
  static Duration FineBucketLength(Duration window) {
    return BucketLength(window) / kFineParts;
  }
  template <size_t kSize>
  static void AddTo(std::array<Bucket, kSize>& buckets,
                    int64_t index,
                    double amount);
  // Sum of the buckets from `oldest` to `newest`.
  template <size_t kSize>
  static double SumBetween(const std::array<Bucket, kSize>& buckets,
                           int64_t oldest,
                           int64_t newest);

  std::array<Bucket, kBuckets> m_buckets;
  std::array<Bucket, kFineBuckets> m_fine_buckets;
};

struct LimitDecision {
  bool is_within = true;
  Duration retry_after{};
  // Inputs of the decision, for the log: the window's usage by this node and by
  // the others, and the limit applied to this node's.
  double own_usage = 0.0;
  double others_usage = 0.0;
  double own_allowed = 0.0;

  friend auto operator<=>(const LimitDecision&, const LimitDecision&) = default;
};

// Enforces customers' rate limits across all nodes, based on the usage that
// nodes report to each other. A node that has recent reports of at most half of
// the nodes keeps to its share of the limit. Between reports the rest of the
// limit is split in proportion to usage, so that nodes that have not seen each
// other's latest usage do not exceed the limit together.
//
// This covers a customer that sends many times its usual load to many nodes at
// once.
class CustomerLimits {
 public:
  explicit CustomerLimits(Duration window) : m_window(window) {}

  void SetWindow(Duration window) { m_window = window; }
  // Maximum age of the other nodes' reported usage.
  void SetStaleness(Duration staleness) { m_staleness = staleness; }
  // Number of known nodes including this one, and how many of them reported
  // recently.
  void SetNodes(size_t known, size_t reporting);
  // Customers whose usage on this node the other nodes are not told. Each node
  // keeps such a customer to an even share of its limit.
  void SetUnreported(std::set<CustomerName> customers) {
    m_unreported = std::move(customers);
  }
  // Stores the usage of one incarnation of a peer, and the usage of ended
  // incarnations that the peer still remembers. Usage of the peer's previous
  // incarnation counts until it has left the window.
  void SetPeerUsage(const NodeId& peer,
                    uint64_t incarnation,
                    const CustomerUsages& usage,
                    const CustomerUsages& remembered,
                    TimePoint now);
  // Stores the total usage of another data centre's nodes, as known to
  // `reporter`. A new reporter, or a new incarnation of it, may lack some of
  // that usage, so the previous report counts until it has left the window.
  void SetDataCenterUsage(const DataCenterName& data_center,
                          const NodeId& reporter,
                          uint64_t incarnation,
                          const CustomerUsages& usage,
                          TimePoint now);
  // Usage of this node and of the peers that report to it, including ended
  // incarnations: what a data centre reports about itself.
  CustomerUsages LocalUsage(TimePoint now) const;
  // Restores the total usage of all nodes at `recorded_at`, for a node that
  // starts when the others may have lost it too. Usage that nodes report
  // themselves is not counted a second time.
  void SetRecordedUsage(const CustomerUsages& usage, TimePoint recorded_at);

  // Counts `amount` if the limit allows it.
  LimitDecision TryAcquire(const CustomerName& customer,
                           const CustomerLimit& limit,
                           double amount,
                           TimePoint now);
  // Subtracts what was counted for a request that was not executed.
  void Refund(const CustomerName& customer, double amount, TimePoint now);
  CustomerUsages OwnUsage(TimePoint now) const;
  // Usage of ended incarnations of nodes, and what the restored record has
  // beyond the usage that nodes still report. The record is left out until most
  // nodes have reported, as all of it is unexplained until then.
  CustomerUsages RememberedUsage(TimePoint now) const;
  // Usage of all nodes, as far as it is known here.
  WindowUsage TotalUsage(const CustomerName& customer, TimePoint now) const;
  // Usage within one window that all nodes together are allowed.
  double AllowedUsage(const CustomerLimit& limit) const;

 private:
  struct PeerUsage {
    uint64_t incarnation = 0;
    CustomerUsages usage;
    CustomerUsages remembered;
    TimePoint received_at{};
  };
  // A snapshot of usage at one point in time.
  struct PastUsage {
    CustomerUsages usage;
    TimePoint at{};
  };
  struct DataCenterUsage {
    NodeId reporter;
    uint64_t incarnation = 0;
    CustomerUsages usage;
    TimePoint received_at{};
    // Last reports of previous reporters.
    std::vector<PastUsage> earlier;
  };

  // Which past usage counts: the record restored from the store covers all data
  // centres, so it is left out of one data centre's own sum.
  enum class PastScope { kEndedIncarnations, kAll };

  // The part of the restored record that this node's own usage and the others'
  // reports do not contain: usage of nodes that have ended.
  WindowUsage UnexplainedRecord(const CustomerName& customer,
                                TimePoint now) const;
  // Usage of peers' current incarnations.
  WindowUsage ReportedUsage(const CustomerName& customer, TimePoint now) const;

  WindowUsage PeersUsage(const CustomerName& customer,
                         PastScope scope,
                         TimePoint now) const;
  WindowUsage PastUsageOf(const CustomerName& customer,
                          PastScope scope,
                          TimePoint now) const;
  WindowUsage DataCentersUsage(const CustomerName& customer,
                               TimePoint now) const;
  WindowUsage OthersUsage(const CustomerName& customer, TimePoint now) const;

  Duration m_window;
  Duration m_staleness = std::chrono::milliseconds(500);
  size_t m_known_nodes = 1;
  size_t m_reporting_nodes = 1;
  std::map<CustomerName, SlidingWindowCounter> m_own;
  std::set<CustomerName> m_unreported;
  std::map<NodeId, PeerUsage> m_peers;
  std::map<DataCenterName, DataCenterUsage> m_data_centers;
  // Usage of ended incarnations, and usage restored from the store.
  std::vector<PastUsage> m_past;
  std::vector<PastUsage> m_recorded;
};

}  // namespace pistachiowalk
