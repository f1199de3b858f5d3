#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "following/node_digest.h"
#include "http1/socket_address.h"

namespace pistachiowalk {

// Another node of the system.
struct Peer {
  SocketAddress address;
  std::optional<TimePoint> heard_at;
  // The last digest; meaningful once heard.
  NodeDigest digest;
  bool is_silent = true;
};

// The other nodes, by their entries in the store and by what they tell.
class PeerTable {
 public:
  PeerTable(NodeId self, DataCenterName data_center)
      : m_self(std::move(self)), m_data_center(std::move(data_center)) {}

  // Takes in all entries of the store; unlisted peers that are silent go.
  void ReplaceEntries(const std::map<NodeId, SocketAddress>& entries);
  void ApplyEntry(const NodeId& node, const SocketAddress& address);
  void RemoveEntry(const NodeId& node);
  // Whether the digest is newer than what was known.
  bool ApplyDigest(const NodeDigest& digest,
                   const SocketAddress& sender,
                   TimePoint now);
  // Notes peers that have told nothing for `silence`; call it often.
  void Step(TimePoint now, Duration silence);

  const std::map<NodeId, Peer>& peers() const { return m_peers; }
  size_t HeardCount() const;
  // Nodes of this data centre that are heard and come before this node in an
  // order that all nodes agree on.
  size_t CountBefore() const;
  // Whether a peer that is heard holds the duties' lease.
  bool IsDutyHeld() const;
  // Open work at an endpoint, over all peers that are heard.
  SentWork WorkAt(uint64_t endpoint_key) const;
  // Adds up the peers' digests; done by ApplyDigest() and Step().
  void SumWork();

 private:
  NodeId m_self;
  DataCenterName m_data_center;
  std::map<NodeId, Peer> m_peers;
  std::map<uint64_t, SentWork> m_work;
};

}  // namespace pistachiowalk
