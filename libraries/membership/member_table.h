#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "membership/member.h"

namespace pistachiowalk {

// The members of one data centre. Failed and left members are kept as
// tombstones for as long as outdated updates about them may still be in
// circulation.
class MemberTable {
 public:
  struct Record {
    Member member;
    // When the member entered `member.state`, by this node's clock.
    TimePoint since;
  };
  using Records = std::map<NodeId, Record>;

  // Applies an update. Returns false if the known record is at least as new.
  bool Apply(const Member& update, TimePoint now);
  const Member* Find(const NodeId& node) const;
  // Removes members that failed or left before `limit`.
  void Expire(TimePoint limit);
  // Moves every record's `since` forward by `pause`, so that time during which
  // this process was paused does not count towards timeouts.
  void ShiftStateTimes(Duration pause);

  const Records& records() const { return m_records; }
  // Hash of the live members and their incarnations. Equal on nodes with equal
  // views.
  uint64_t view_hash() const { return m_view_hash; }
  size_t suspects() const { return m_suspects; }
  // Live members, sorted by name.
  const std::vector<NodeId>& live() const { return m_live; }

 private:
  void RebuildLive();

  Records m_records;
  std::vector<NodeId> m_live;
  uint64_t m_view_hash = 0;
  size_t m_suspects = 0;
};

// Rendezvous hash of `node` for `purpose`. The nodes of highest rank are
// chosen.
uint64_t RendezvousRank(std::string_view purpose, const NodeId& node);
// The `count` nodes of highest rank, in descending order.
std::vector<NodeId> HighestRanked(std::string_view purpose,
                                  const std::vector<NodeId>& nodes,
                                  size_t count);

}  // namespace pistachiowalk
