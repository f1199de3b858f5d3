#include "membership/member_table.h"

#include <xxhash.h>

#include <algorithm>

namespace pistachiowalk {
namespace {

uint64_t HashMember(const Member& member) {
  const std::string& name = member.node.value();
  return XXH64(name.data(), name.size(), member.incarnation);
}

}  // namespace

bool MemberTable::Apply(const Member& update, TimePoint now) {
  const size_t suspect = update.state == MemberState::kSuspect ? 1 : 0;
  const auto it = m_records.find(update.node);
  if (it == m_records.end()) {
    m_records.emplace(update.node, Record{update, now});
    m_suspects += suspect;
    if (IsLive(update)) {
      RebuildLive();
    }
    return true;
  }
  if (!Supersedes(update, it->second.member)) {
    return false;
  }
  const bool keeps_view =
      IsLive(update) == IsLive(it->second.member) &&
      (!IsLive(update) || update.incarnation == it->second.member.incarnation);
  m_suspects += suspect;
  m_suspects -= it->second.member.state == MemberState::kSuspect ? 1 : 0;
  it->second = Record{update, now};
  if (!keeps_view) {
    RebuildLive();
  }
  return true;
}

const Member* MemberTable::Find(const NodeId& node) const {
  const auto it = m_records.find(node);
  return it == m_records.end() ? nullptr : &it->second.member;
}

void MemberTable::Expire(TimePoint limit) {
  std::erase_if(m_records, [limit](const auto& item) {
    return !IsLive(item.second.member) && item.second.since < limit;
  });
}

void MemberTable::ShiftStateTimes(Duration pause) {
  for (auto& [node, record] : m_records) {
    record.since += pause;
  }
}

void MemberTable::RebuildLive() {
  m_live.clear();
  m_view_hash = 0;
  for (const auto& [node, record] : m_records) {
    if (IsLive(record.member)) {
      m_live.push_back(node);
      m_view_hash ^= HashMember(record.member);
    }
  }
}

uint64_t RendezvousRank(std::string_view purpose, const NodeId& node) {
  const uint64_t seed = XXH64(purpose.data(), purpose.size(), 0);
  return XXH64(node.value().data(), node.value().size(), seed);
}

std::vector<NodeId> HighestRanked(std::string_view purpose,
                                  const std::vector<NodeId>& nodes,
                                  size_t count) {
  std::vector<std::pair<uint64_t, const NodeId*>> ranks;
  ranks.reserve(nodes.size());
  for (const NodeId& node : nodes) {
    ranks.emplace_back(RendezvousRank(purpose, node), &node);
  }
  count = std::min(count, ranks.size());
  std::partial_sort(
      ranks.begin(), ranks.begin() + static_cast<ptrdiff_t>(count), ranks.end(),
      [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
      });
  std::vector<NodeId> highest;
  for (size_t i = 0; i < count; ++i) {
    highest.push_back(*ranks[i].second);
  }
  return highest;
}

}  // namespace pistachiowalk
