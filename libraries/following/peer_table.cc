#include "following/peer_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

#include "following/following_log_events.h"

namespace pistachiowalk {

std::string FormatNodeEntry(const NodeEntry& entry) {
  return fmt::format("{} {} {}", FormatSocketAddress(entry.address),
                     entry.data_center.value(), entry.link_megabits);
}

std::optional<NodeEntry> ParseNodeEntry(const std::string& text) {
  std::istringstream words(text);
  std::string address;
  std::string data_center;
  NodeEntry entry;
  if (!(words >> address >> data_center >> entry.link_megabits)) {
    return std::nullopt;
  }
  const std::optional<SocketAddress> parsed = ParseSocketAddress(address);
  if (!parsed) {
    return std::nullopt;
  }
  entry.address = *parsed;
  entry.data_center = DataCenterName(data_center);
  return entry;
}

void PeerTable::ApplyEntry(const NodeId& node, const NodeEntry& entry) {
  if (node != m_self) {
    m_peers[node].entry = entry;
  }
}

void PeerTable::RemoveEntry(const NodeId& node) {
  const auto it = m_peers.find(node);
  if (it != m_peers.end() && it->second.is_silent) {
    m_peers.erase(it);
  }
}

bool PeerTable::ApplyDigest(const NodeDigest& digest,
                            const SocketAddress& sender,
                            TimePoint now) {
  if (digest.node == m_self) {
    return false;
  }
  Peer& peer = m_peers[digest.node];
  // NOTE: Incarnations come from the wall clock, which may have jumped back, so
  // a lower one is accepted once the node with the higher one is silent.
  const bool is_older =
      digest.incarnation == peer.digest.incarnation
          ? digest.sequence <= peer.digest.sequence
          : digest.incarnation < peer.digest.incarnation && !peer.is_silent;
  if (peer.heard_at && is_older) {
    return false;
  }
  if (peer.is_silent) {
    LogEvent(following_log::kPeerHeard,
             {{"node", digest.node.value()},
              {"incarnation", std::to_string(digest.incarnation)},
              {"address", FormatSocketAddress(sender)}});
  }
  peer.entry = NodeEntry{.address = sender,
                         .data_center = digest.data_center,
                         .link_megabits = digest.link_megabits};
  peer.heard_at = now;
  peer.is_silent = false;
  peer.digest = digest;
  m_is_work_stale = true;
  return true;
}

bool PeerTable::ApplyHistories(const FollowedHistories& histories) {
  const auto peer = m_peers.find(histories.node);
  if (peer == m_peers.end()) {
    return false;
  }
  std::optional<FollowedHistories>& known = peer->second.histories;
  // NOTE: As with digests, an incarnation may be lower than the one before.
  const bool is_of_this_start =
      known && peer->second.heard_at &&
      known->incarnation != histories.incarnation &&
      histories.incarnation == peer->second.digest.incarnation;
  if (known && !is_of_this_start && histories <= *known) {
    return false;
  }
  known = histories;
  return true;
}

void PeerTable::NoteEndpointsChange(const ListConfirmation& told) {
  const auto peer = m_peers.find(told.node);
  if (peer != m_peers.end() && peer->second.histories &&
      peer->second.histories->endpoints == told.history) {
    uint64_t& change = peer->second.digest.endpoints_change;
    change = std::max<uint64_t>(change, told.revision);
  }
}

void PeerTable::Step(TimePoint now,
                     Duration local_timeout,
                     Duration remote_timeout) {
  for (auto& [node, peer] : m_peers) {
    if (!peer.is_silent &&
        now - *peer.heard_at >
            (IsInOwnDataCenter(peer) ? local_timeout : remote_timeout)) {
      peer.is_silent = true;
      m_is_work_stale = true;
      LogEvent(following_log::kPeerSilent,
               {{"node", node.value()},
                {"address", FormatSocketAddress(peer.entry.address)}});
    }
  }
}

size_t PeerTable::HeardCount() const {
  size_t count = 0;
  for (const auto& [node, peer] : m_peers) {
    count += peer.is_silent ? 0 : 1;
  }
  return count;
}

DigestPlanNode PeerTable::ToPlanNode(const NodeId& node,
                                     const Peer& peer) const {
  return DigestPlanNode{
      .node = node,
      .data_center = peer.entry.data_center,
      .link_megabits = peer.entry.link_megabits,
      .is_serving = !peer.is_silent && !peer.digest.is_stopping};
}

DigestPlanNode PeerTable::Self(bool is_stopping) const {
  return DigestPlanNode{.node = m_self,
                        .data_center = m_own.data_center,
                        .link_megabits = m_own.link_megabits,
                        .is_serving = !is_stopping};
}

std::vector<DigestPlanNode> PeerTable::OtherNodes() const {
  std::vector<DigestPlanNode> others;
  others.reserve(m_peers.size());
  for (const auto& [node, peer] : m_peers) {
    others.push_back(ToPlanNode(node, peer));
  }
  return others;
}

size_t PeerTable::CountHigherRanked() const {
  const DigestPlanNode self = Self(false);
  return static_cast<size_t>(
      std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        const auto& [node, peer] = entry;
        return !peer.is_silent && IsInOwnDataCenter(peer) &&
               peer.digest.reaches_store &&
               RanksBefore(ToPlanNode(node, peer), self);
      }));
}

std::optional<NodeId> PeerTable::DutyHolder() const {
  for (const auto& [node, peer] : m_peers) {
    if (!peer.is_silent && peer.digest.holds_duty) {
      return node;
    }
  }
  return std::nullopt;
}

OutstandingWork PeerTable::WorkAt(uint64_t endpoint_key) const {
  if (m_is_work_stale) {
    m_is_work_stale = false;
    m_work.Clear();
    for (const auto& [node, peer] : m_peers) {
      if (!peer.is_silent) {
        m_work.Add(peer.digest.work);
      }
    }
  }
  return m_work.At(endpoint_key);
}

}  // namespace pistachiowalk
