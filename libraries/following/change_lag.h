#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>

#include "base/clock.h"

namespace pistachiowalk {

// Since when a node has known of a change that it has not applied. Positions
// increase with each change. Does no I/O.
//
// A node that applies each change of a fast series soon after it has heard of
// it is never far behind, although it always lacks the newest one.
template <class Position>
class ChangeLag {
 public:
  // `heard` is the newest change that a peer reports now, `applied` the
  // position up to which this node has applied all changes.
  void Update(const Position& heard, const Position& applied, TimePoint now) {
    // NOTE: Where the peers with a newer change are silent now, the changes
    // before it were known as long.
    std::optional<TimePoint> withdrawn_since;
    for (auto change = m_heard_at.upper_bound(heard);
         change != m_heard_at.end(); change = m_heard_at.erase(change)) {
      withdrawn_since =
          std::min(withdrawn_since.value_or(change->second), change->second);
    }
    m_heard_at.erase(m_heard_at.begin(), m_heard_at.upper_bound(applied));
    if (heard > applied && m_heard_at.size() < kMaximumChanges) {
      m_heard_at.try_emplace(heard, withdrawn_since.value_or(now));
    }
  }

  // When the oldest change that is not applied was first heard of.
  std::optional<TimePoint> behind_since() const {
    if (m_heard_at.empty()) {
      return std::nullopt;
    }
    return std::min_element(
               m_heard_at.begin(), m_heard_at.end(),
               [](const auto& a, const auto& b) { return a.second < b.second; })
        ->second;
  }

 private:
  static constexpr size_t kMaximumChanges = 256;

  std::map<Position, TimePoint> m_heard_at;
};

}  // namespace pistachiowalk
