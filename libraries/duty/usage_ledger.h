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

// One start of a node.
struct NodeIncarnation {
  NodeId node;
  uint64_t incarnation = 0;

  friend auto operator<=>(const NodeIncarnation&,
                          const NodeIncarnation&) = default;
};

// What one start of a node has told.
struct NodeUsage {
  NodeIncarnation source;
  std::vector<StartedCount> counts;

  friend auto operator<=>(const NodeUsage&, const NodeUsage&) = default;
};

// Requests that began to run, by window of the true time: this node's own, and
// what the others last told of theirs. What a node told stays when it dies.
class UsageLedger {
 public:
  explicit UsageLedger(std::chrono::milliseconds window) : m_window(window) {}

  UsageWindow WindowOf(std::chrono::system_clock::time_point at) const;
  std::chrono::system_clock::time_point EndOf(UsageWindow window) const;

  void NoteStarted(const CustomerName& customer, UsageWindow window);
  // Takes in a node's counts; within one incarnation they only rise.
  void MergeNodeCounts(const NodeId& node,
                       uint64_t incarnation,
                       const std::vector<StartedCount>& counts);
  std::map<CustomerName, uint64_t> Total(UsageWindow window) const;
  // This node's counts from the window `first` on.
  std::vector<StartedCount> OwnCounts(UsageWindow first) const;
  // AllCounts counts from the window `first` on; `own` names this node's.
  std::vector<NodeUsage> AllCounts(const NodeIncarnation& own,
                                   UsageWindow first) const;
  // The first window of which anything is known.
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
