#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "following/node_digest.h"

namespace pistachiowalk {

using UsageWindow = uint64_t;

// One run of a node's process.
struct NodeIncarnation {
  NodeId node;
  uint64_t incarnation = 0;

  friend auto operator<=>(const NodeIncarnation&,
                          const NodeIncarnation&) = default;
};

// The counts reported by one incarnation of a node.
struct NodeUsage {
  NodeIncarnation source;
  std::vector<StartedCount> counts;

  friend auto operator<=>(const NodeUsage&, const NodeUsage&) = default;
};

// Counts of started requests by window of the cluster time: this node's own,
// and the last ones reported by the other nodes. The counts of a node are kept
// after it has died.
class UsageLedger {
 public:
  explicit UsageLedger(std::chrono::milliseconds window) : m_window(window) {}

  UsageWindow WindowOf(std::chrono::system_clock::time_point at) const;
  std::chrono::system_clock::time_point EndOf(UsageWindow window) const;

  void NoteStarted(const CustomerName& customer, UsageWindow window);
  // Merges the counts reported by a node; within one incarnation they only
  // increase.
  void MergeNodeCounts(const NodeId& node,
                       uint64_t incarnation,
                       const std::vector<StartedCount>& counts);
  std::map<CustomerName, uint64_t> Total(UsageWindow window) const;
  // This node's counts from the window `first` on.
  std::vector<StartedCount> OwnCounts(UsageWindow first) const;
  // All counts from the window `first` on; this node's are listed under `own`.
  std::vector<NodeUsage> AllCounts(const NodeIncarnation& own,
                                   UsageWindow first) const;
  // The first window that has counts.
  std::optional<UsageWindow> FirstWindow() const;
  // Drops windows before `window`.
  void DropBefore(UsageWindow window);

 private:
  using Counts = std::map<std::pair<UsageWindow, CustomerName>, uint32_t>;

  static std::vector<StartedCount> CountsSince(const Counts& counts,
                                               UsageWindow first);

  std::chrono::milliseconds m_window;
  Counts m_own;
  std::map<NodeIncarnation, Counts> m_by_node;
};

}  // namespace pistachiowalk
