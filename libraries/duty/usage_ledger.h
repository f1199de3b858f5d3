#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "following/node_digest.h"

namespace pistachiowalk {

using UsageWindow = uint64_t;

// Requests that began to run, by window of the true time: this node's own, and
// what the others last told of theirs. What a node told stays when it dies.
class UsageLedger {
 public:
  explicit UsageLedger(std::chrono::milliseconds window) : m_window(window) {}

  UsageWindow WindowOf(std::chrono::system_clock::time_point at) const;
  std::chrono::system_clock::time_point EndOf(UsageWindow window) const;

  void NoteStarted(const CustomerName& customer, UsageWindow window);
  // Takes in a node's counts; within one incarnation they only rise.
  void NoteTold(const NodeId& node,
                uint64_t incarnation,
                const std::vector<StartedCount>& counts);
  std::map<CustomerName, uint64_t> Total(UsageWindow window) const;
  // This node's counts from the window `first` on.
  std::vector<StartedCount> Own(UsageWindow first) const;
  // Drops windows before `window`.
  void ForgetBefore(UsageWindow window);

 private:
  using Counts = std::map<std::pair<UsageWindow, CustomerName>, uint32_t>;

  std::chrono::milliseconds m_window;
  Counts m_own;
  std::map<std::pair<NodeId, uint64_t>, Counts> m_told;
};

}  // namespace pistachiowalk
