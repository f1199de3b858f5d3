#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "following/digest_plan.h"
#include "following/endpoint_work_totals.h"
#include "following/followed_histories.h"
#include "following/list_confirmation.h"
#include "following/node_digest.h"
#include "http1/socket_address.h"

namespace pistachiowalk {

// A node's entry in the store.
struct NodeEntry {
  SocketAddress address;
  DataCenterName data_center;
  uint32_t link_megabits = 0;

  friend auto operator<=>(const NodeEntry&, const NodeEntry&) = default;
};

std::string FormatNodeEntry(const NodeEntry& entry);
// nullopt if the text is not a valid entry.
std::optional<NodeEntry> ParseNodeEntry(const std::string& text);

// Another node of the deployment.
struct Peer {
  // Once a digest was received, the address is that of its sender.
  NodeEntry entry;
  std::optional<TimePoint> heard_at;
  // The last digest; valid only if heard_at is set.
  NodeDigest digest;
  // Unset for a node of an earlier build, which sends none.
  std::optional<FollowedHistories> histories;
  bool is_silent = true;
};

// The other nodes, from their entries in the store and their digests.
class PeerTable {
 public:
  PeerTable(NodeId self, NodeEntry own)
      : m_self(std::move(self)), m_own(std::move(own)) {}

  void ApplyEntry(const NodeId& node, const NodeEntry& entry);
  void RemoveEntry(const NodeId& node);
  // Stores the digest and returns true if it is newer than the stored one.
  bool ApplyDigest(const NodeDigest& digest,
                   const SocketAddress& sender,
                   TimePoint now);
  // Stores the histories of a known peer and returns true if they are newer
  // than the stored ones.
  bool ApplyHistories(const FollowedHistories& histories);
  // Called when a peer has told outside its digests that it has seen a change
  // of the endpoints.
  void NoteEndpointsChange(const ListConfirmation& told);
  // Marks peers silent that have sent no digest for `local_timeout` if they are
  // in this data centre, or for `remote_timeout` otherwise; must be called
  // periodically.
  void Step(TimePoint now, Duration local_timeout, Duration remote_timeout);

  const std::map<NodeId, Peer>& peers() const { return m_peers; }
  size_t HeardCount() const;
  bool IsInOwnDataCenter(const Peer& peer) const {
    return peer.entry.data_center == m_own.data_center;
  }
  // Nodes of this data centre that are not silent, reach the store and rank
  // before this node in the order of RanksBefore(), which is the same on all
  // nodes.
  size_t CountHigherRanked() const;
  // This node and the others, as input of PlanDigests().
  DigestPlanNode Self(bool is_stopping) const;
  std::vector<DigestPlanNode> OtherNodes() const;
  // The peer that holds the duty lease, if it is not silent.
  std::optional<NodeId> DutyHolder() const;
  // Outstanding work at an endpoint, summed over all peers that are not silent.
  OutstandingWork WorkAt(uint64_t endpoint_key) const;

 private:
  DigestPlanNode ToPlanNode(const NodeId& node, const Peer& peer) const;

  NodeId m_self;
  NodeEntry m_own;
  std::map<NodeId, Peer> m_peers;
  // Computed lazily after a change, as with many peers digests arrive more
  // often than requests.
  mutable EndpointWorkTotals m_work;
  mutable bool m_is_work_stale = false;
};

}  // namespace pistachiowalk
