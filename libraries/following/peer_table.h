#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "following/digest_plan.h"
#include "following/node_digest.h"
#include "following/work_sums.h"
#include "http1/socket_address.h"

namespace pistachiowalk {

// What a node enters in the store.
struct NodeEntry {
  SocketAddress address;
  DataCenterName data_center;
  uint32_t link_megabits = 0;

  friend auto operator<=>(const NodeEntry&, const NodeEntry&) = default;
};

std::string FormatNodeEntry(const NodeEntry& entry);
// nullopt for what is no entry.
std::optional<NodeEntry> ParseNodeEntry(const std::string& text);

// Another node of the system.
struct Peer {
  // The address is the one that it last told from, if it was heard.
  NodeEntry entry;
  std::optional<TimePoint> heard_at;
  // The last digest; meaningful once heard.
  NodeDigest digest;
  bool is_silent = true;
};

// The other nodes, by their entries in the store and by what they tell.
class PeerTable {
 public:
  PeerTable(NodeId self, NodeEntry own)
      : m_self(std::move(self)), m_own(std::move(own)) {}

  void ApplyEntry(const NodeId& node, const NodeEntry& entry);
  void RemoveEntry(const NodeId& node);
  // Whether the digest is newer than what was known.
  bool ApplyDigest(const NodeDigest& digest,
                   const SocketAddress& sender,
                   TimePoint now);
  // Notes peers that have told nothing for `near` if they are in this data
  // centre, or for `distant`; call it often.
  void Step(TimePoint now, Duration local_timeout, Duration remote_timeout);

  const std::map<NodeId, Peer>& peers() const { return m_peers; }
  size_t HeardCount() const;
  bool IsInOwnDataCenter(const Peer& peer) const {
    return peer.entry.data_center == m_own.data_center;
  }
  // Nodes of this data centre that are heard, reach the store and come before
  // this node in an order that all nodes agree on.
  size_t CountHigherRanked() const;
  // This node and the others, for planning whom to tell.
  DigestPlanNode Self(bool is_stopping) const;
  std::vector<DigestPlanNode> OtherNodes() const;
  // The peer that holds the duties' lease, if it is heard.
  std::optional<NodeId> DutyHolder() const;
  // Open work at an endpoint, over all peers that are heard.
  OutstandingWork WorkAt(uint64_t endpoint_key) const;

 private:
  DigestPlanNode ToPlanNode(const NodeId& node, const Peer& peer) const;

  NodeId m_self;
  NodeEntry m_own;
  std::map<NodeId, Peer> m_peers;
  // Summed when asked for after a change: with many peers digests come more
  // often than requests.
  mutable WorkSums m_work;
  mutable bool m_is_work_stale = false;
};

}  // namespace pistachiowalk
