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

void UsageLedger::NoteTold(const NodeId& node,
                           uint64_t incarnation,
                           const std::vector<StartedCount>& counts) {
  Counts& told = m_told[{node, incarnation}];
  for (const StartedCount& count : counts) {
    uint32_t& known = told[{count.window, count.customer}];
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
  for (const auto& [node, counts] : m_told) {
    add(counts);
  }
  return total;
}

std::vector<StartedCount> UsageLedger::From(const Counts& counts,
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

std::vector<StartedCount> UsageLedger::Own(UsageWindow first) const {
  return From(m_own, first);
}

std::vector<ToldUsage> UsageLedger::All(const NodeIncarnation& own,
                                        UsageWindow first) const {
  std::vector<ToldUsage> all;
  const auto add = [&](const NodeIncarnation& teller, const Counts& counts) {
    ToldUsage told{.teller = teller, .counts = From(counts, first)};
    if (!told.counts.empty()) {
      all.push_back(std::move(told));
    }
  };
  add(own, m_own);
  for (const auto& [teller, counts] : m_told) {
    add(teller, counts);
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
  for (const auto& [teller, counts] : m_told) {
    consider(counts);
  }
  return first;
}

void UsageLedger::ForgetBefore(UsageWindow window) {
  const auto is_old = [window](const auto& item) {
    return item.first.first < window;
  };
  std::erase_if(m_own, is_old);
  for (auto& [node, counts] : m_told) {
    std::erase_if(counts, is_old);
  }
  std::erase_if(m_told, [](const auto& node) { return node.second.empty(); });
}

}  // namespace pistachiowalk
