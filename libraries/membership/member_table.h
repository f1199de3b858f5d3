#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "membership/member.h"

namespace pistachiowalk {

// The members of one data centre, those that failed or left included for as
// long as older news of them may still be about.
class MemberTable {
 public:
  struct Record {
    Member member;
    // When `member.state` began, by this node's clock.
    TimePoint since;
  };
  using Records = std::map<NodeId, Record>;

  // Takes in news; false when something as new or newer is known.
  bool Apply(const Member& update, TimePoint now);
  const Member* Find(const NodeId& node) const;
  // Drops records that failed or left before `limit`.
  void Expire(TimePoint limit);
  // Moves every state's beginning; after a pause of this process.
  void ShiftStateTimes(Duration pause);

  const Records& records() const { return m_records; }
  // Equal on nodes that count the same members, at the same incarnations.
  uint64_t view_hash() const { return m_view_hash; }
  size_t suspects() const { return m_suspects; }
  // Live members in order of name.
  const std::vector<NodeId>& live() const { return m_live; }

 private:
  void RebuildLive();

  Records m_records;
  std::vector<NodeId> m_live;
  uint64_t m_view_hash = 0;
  size_t m_suspects = 0;
};

// Rank of `node` for `purpose` by rendezvous hashing; the highest is chosen.
uint64_t RendezvousRank(std::string_view purpose, const NodeId& node);
// The `count` nodes of highest rank, in falling order.
std::vector<NodeId> HighestRanked(std::string_view purpose,
                                  const std::vector<NodeId>& nodes,
                                  size_t count);

}  // namespace pistachiowalk
