#include "duty/usage_ledger.h"

#include <algorithm>

namespace pistachiowalk {

UsageWindow UsageLedger::WindowOf(
    std::chrono::system_clock::time_point at) const {
  return static_cast<UsageWindow>(at.time_since_epoch() / m_window);
}

std::chrono::system_clock::time_point UsageLedger::EndOf(
    UsageWindow window) const {
  return std::chrono::system_clock::time_point(
      m_window * static_cast<int64_t>(window + 1));
}

void UsageLedger::NoteStarted(const CustomerName& customer,
                              UsageWindow window) {
  ++m_own[{window, customer}];
}

void UsageLedger::MergeNodeCounts(const NodeId& node,
                                  uint64_t incarnation,
                                  const std::vector<StartedCount>& counts) {
  Counts& usage = m_by_node[{node, incarnation}];
  for (const StartedCount& count : counts) {
    uint32_t& known = usage[{count.window, count.customer}];
    known = std::max(known, count.started);
  }
}

std::map<CustomerName, uint64_t> UsageLedger::Total(UsageWindow window) const {
  std::map<CustomerName, uint64_t> total;
  const auto add = [&](const Counts& counts) {
    for (auto it = counts.lower_bound({window, CustomerName()});
         it != counts.end() && it->first.first == window; ++it) {
      total[it->first.second] += it->second;
    }
  };
  add(m_own);
  for (const auto& [node, counts] : m_by_node) {
    add(counts);
  }
  return total;
}

std::vector<StartedCount> UsageLedger::CountsSince(const Counts& counts,
                                                   UsageWindow first) {
  std::vector<StartedCount> list;
  for (auto it = counts.lower_bound({first, CustomerName()});
       it != counts.end(); ++it) {
    list.push_back(StartedCount{.window = it->first.first,
                                .customer = it->first.second,
                                .started = it->second});
  }
  return list;
}

std::vector<StartedCount> UsageLedger::OwnCounts(UsageWindow first) const {
  return CountsSince(m_own, first);
}

std::vector<NodeUsage> UsageLedger::AllCounts(const NodeIncarnation& own,
                                              UsageWindow first) const {
  std::vector<NodeUsage> all;
  const auto add = [&](const NodeIncarnation& source, const Counts& counts) {
    NodeUsage usage{.source = source, .counts = CountsSince(counts, first)};
    if (!usage.counts.empty()) {
      all.push_back(std::move(usage));
    }
  };
  add(own, m_own);
  for (const auto& [source, counts] : m_by_node) {
    add(source, counts);
  }
  return all;
}

std::optional<UsageWindow> UsageLedger::FirstWindow() const {
  std::optional<UsageWindow> first;
  const auto consider = [&](const Counts& counts) {
    if (!counts.empty()) {
      const UsageWindow window = counts.begin()->first.first;
      first = std::min(first.value_or(window), window);
    }
  };
  consider(m_own);
  for (const auto& [source, counts] : m_by_node) {
    consider(counts);
  }
  return first;
}

void UsageLedger::DropBefore(UsageWindow window) {
  const auto is_old = [window](const auto& item) {
    return item.first.first < window;
  };
  std::erase_if(m_own, is_old);
  for (auto& [node, counts] : m_by_node) {
    std::erase_if(counts, is_old);
  }
  std::erase_if(m_by_node,
                [](const auto& node) { return node.second.empty(); });
}

}  // namespace pistachiowalk
