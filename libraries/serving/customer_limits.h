#pragma once

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace pistachiowalk {

// Parts of a window by which use is told to others.
constexpr size_t kWindowParts = 4;

// Use of one customer's limit within the window, by age: the first part is the
// last quarter of the window.
struct WindowUsage {
  std::array<double, kWindowParts> by_age{};

  double Total() const;
  // What is left in the window after `elapsed`; whole parts leave it, so it is
  // never less than it was.
  WindowUsage After(Duration elapsed, Duration window) const;

  friend auto operator<=>(const WindowUsage&, const WindowUsage&) = default;
};

WindowUsage operator+(const WindowUsage& a, const WindowUsage& b);

// Use as it is once `unseen` has passed, if it goes on at the pace of the
// newest part: a record of use misses what came just before all nodes ended.
WindowUsage ExtrapolateUsage(const WindowUsage& usage,
                             Duration unseen,
                             Duration window);

using CustomerUsages = std::map<CustomerName, WindowUsage>;

struct CustomerLimit {
  double rate_per_second = 0.0;
  double burst = 0.0;

  friend auto operator<=>(const CustomerLimit&, const CustomerLimit&) = default;
};

// Use of one customer's limit by one node over a sliding window.
class SlidingWindowCounter {
 public:
  void Add(double amount, TimePoint now, Duration window);
  double Sum(TimePoint now, Duration window) const;
  // Use of the last `recent` of the window, or a little more.
  double RecentSum(Duration recent, TimePoint now, Duration window) const;
  WindowUsage ByAge(TimePoint now, Duration window) const;
  // Time until the use falls to `target`, at most the window.
  Duration TimeUntilBelow(double target, TimePoint now, Duration window) const;

 private:
  // Buckets in a window; what leaves the window leaves it a bucket late.
  static constexpr size_t kBuckets = 16;
  struct Bucket {
    int64_t index = -1;
    double amount = 0.0;
  };

  static int64_t IndexOf(TimePoint now, Duration window);

  std::array<Bucket, kBuckets> m_buckets;
};

struct LimitDecision {
  bool is_within = true;
  Duration retry_after{};
  // What decided it: the window's use by this node and by the others, and up to
  // where this node's could go.
  double own_usage = 0.0;
  double others_usage = 0.0;
  double own_allowed = 0.0;

  friend auto operator<=>(const LimitDecision&, const LimitDecision&) = default;
};

// Customers' limits over all nodes, kept by what each node tells of its own
// use. A node that hears from few others keeps to its share of the limit. What
// is left of the limit is split by use until the others tell of theirs anew, so
// that nodes that do not see each other's newest use do not exceed it together.
//
// Answers the load of one customer that sends many times its usual, at many
// nodes at once.
class CustomerLimits {
 public:
  explicit CustomerLimits(Duration window) : m_window(window) {}

  void SetWindow(Duration window) { m_window = window; }
  // How old the others' use may be.
  void SetStaleness(Duration staleness) { m_staleness = staleness; }
  // Nodes known, this one included, and how many of them were heard of late.
  void SetNodes(size_t known, size_t heard);
  // Takes in what one incarnation of a node has used, and what it remembers of
  // incarnations that ended. What an earlier one used leaves the window with
  // time.
  void SetPeerUsage(const NodeId& peer,
                    uint64_t incarnation,
                    const CustomerUsages& usage,
                    const CustomerUsages& remembered,
                    TimePoint now);
  // Takes in what the nodes of another data centre have used together, as
  // `teller` knows it. Another teller, or a new start of it, may have forgotten
  // some, so what the earlier one told counts until it has left the window.
  void SetDataCenterUsage(const DataCenterName& data_center,
                          const NodeId& reporter,
                          uint64_t incarnation,
                          const CustomerUsages& usage,
                          TimePoint now);
  // Use by this node and the nodes that tell it of theirs, ended incarnations
  // included: what a data centre tells of itself.
  CustomerUsages LocalUsage(TimePoint now) const;
  // Takes in what all nodes had used at `recorded_at`, for a node that starts
  // while the others may have forgotten it as well.
  void SetRecordedUsage(const CustomerUsages& usage, TimePoint recorded_at);

  // Counts `amount` if it is within the limit.
  LimitDecision TryAcquire(const CustomerName& customer,
                           const CustomerLimit& limit,
                           double amount,
                           TimePoint now);
  // Returns what was taken for a request that did not run.
  void Refund(const CustomerName& customer, double amount, TimePoint now);
  CustomerUsages OwnUsage(TimePoint now) const;
  // Use by incarnations of nodes that have ended.
  CustomerUsages RememberedUsage(TimePoint now) const;
  // Use by all nodes, as far as it is known here.
  WindowUsage TotalUsage(const CustomerName& customer, TimePoint now) const;
  // What all nodes together may use within the window.
  double AllowedUsage(const CustomerLimit& limit) const;

 private:
  struct PeerUsage {
    uint64_t incarnation = 0;
    CustomerUsages usage;
    CustomerUsages remembered;
    TimePoint received_at{};
  };
  // Use as of a moment.
  struct PastUsage {
    CustomerUsages usage;
    TimePoint at{};
  };
  struct DataCenterUsage {
    NodeId reporter;
    uint64_t incarnation = 0;
    CustomerUsages usage;
    TimePoint received_at{};
    // What earlier tellers told.
    std::vector<PastUsage> earlier;
  };

  // Where use is to count: what the store recorded is of all data centres.
  enum class PastScope { kEndedIncarnations, kAll };

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
  size_t m_heard_nodes = 1;
  std::map<CustomerName, SlidingWindowCounter> m_own;
  std::map<NodeId, PeerUsage> m_peers;
  std::map<DataCenterName, DataCenterUsage> m_data_centers;
  // By incarnations that ended, and by the store's record.
  std::vector<PastUsage> m_past;
  std::vector<PastUsage> m_recorded;
};

}  // namespace pistachiowalk
