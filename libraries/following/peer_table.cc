#include "following/peer_table.h"

#include <algorithm>

#include "following/following_log_events.h"

namespace pistachiowalk {
void PeerTable::ReplaceEntries(const std::map<NodeId, SocketAddress>& entries) {
  for (const auto& [node, address] : entries) {
    ApplyEntry(node, address);
  }
  std::erase_if(m_peers, [&](const auto& peer) {
    return peer.second.is_silent && !entries.contains(peer.first);
  });
}

void PeerTable::ApplyEntry(const NodeId& node, const SocketAddress& address) {
  if (node != m_self) {
    m_peers[node].address = address;
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
  // a lower one counts once the higher one is silent.
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
              {"address", ToText(sender)}});
  }
  peer.address = sender;
  peer.heard_at = now;
  peer.is_silent = false;
  peer.digest = digest;
  SumWork();
  return true;
}

void PeerTable::Step(TimePoint now, Duration silence) {
  bool has_changed = false;
  for (auto& [node, peer] : m_peers) {
    if (!peer.is_silent && now - *peer.heard_at > silence) {
      peer.is_silent = true;
      has_changed = true;
      LogEvent(following_log::kPeerSilent,
               {{"node", node.value()}, {"address", ToText(peer.address)}});
    }
  }
  if (has_changed) {
    SumWork();
  }
}

size_t PeerTable::HeardCount() const {
  size_t count = 0;
  for (const auto& [node, peer] : m_peers) {
    count += peer.is_silent ? 0 : 1;
  }
  return count;
}

size_t PeerTable::CountBefore() const {
  return static_cast<size_t>(
      std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
        return !peer.second.is_silent && peer.first < m_self &&
               peer.second.digest.data_center == m_data_center;
      }));
}

bool PeerTable::IsDutyHeld() const {
  return std::any_of(m_peers.begin(), m_peers.end(), [](const auto& peer) {
    return !peer.second.is_silent && peer.second.digest.holds_duty;
  });
}

SentWork PeerTable::WorkAt(uint64_t endpoint_key) const {
  const auto it = m_work.find(endpoint_key);
  return it == m_work.end() ? SentWork{} : it->second;
}

void PeerTable::SumWork() {
  m_work.clear();
  for (const auto& [node, peer] : m_peers) {
    if (peer.is_silent) {
      continue;
    }
    for (const EndpointWork& work : peer.digest.work) {
      SentWork& sum = m_work[work.endpoint_key];
      sum = sum + SentWork{.requests = work.requests,
                           .pending_prompt_tokens =
                               static_cast<double>(work.pending_prompt_tokens),
                           .context_tokens =
                               static_cast<double>(work.context_tokens)};
    }
  }
}

}  // namespace pistachiowalk
