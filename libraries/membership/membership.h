#pragma once

#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "membership/gateway_digest.h"
#include "membership/member.h"
#include "membership/member_table.h"
#include "membership/membership_command.h"
#include "membership/membership_message.h"
#include "membership/membership_options.h"
#include "membership/node_envelope.h"

namespace pistachiowalk {

// Group membership and failure detection. The nodes of this data centre are
// tracked individually with a protocol based on SWIM: direct and indirect
// probes, suspicion and incarnation numbers. Other data centres are known only
// by the digests of their gateways. Does no I/O itself: it takes messages and
// the current time and returns commands.
class Membership {
 public:
  struct DigestRecord {
    GatewayDigest digest;
    // When the digest was received, by this node's clock.
    TimePoint received_at;
    uint32_t transmits_left = 0;
  };
  // Keyed by data centre and gateway.
  using Digests = std::map<std::pair<DataCenterName, NodeId>, DigestRecord>;

  Membership(MembershipOptions options, uint64_t seed, TimePoint now);

  // Must be called every kMembershipTickInterval.
  void Tick(TimePoint now, MembershipCommands& commands);
  // Handles an authenticated message. Messages of other kinds and malformed
  // payloads are ignored.
  void Receive(const NodeEnvelope& envelope,
               TimePoint now,
               MembershipCommands& commands);
  // Announces to some peers that this node leaves. The caller should keep
  // ticking for kLeavePropagationTime so that the update reaches all nodes.
  void Leave(TimePoint now, MembershipCommands& commands);

  const Member& self() const { return m_self; }
  const MemberTable& table() const { return m_table; }
  const Digests& digests() const { return m_digests; }
  // The live nodes that exchange digests on behalf of this data centre, highest
  // rank first.
  const std::vector<NodeId>& gateways() const { return m_gateways; }
  bool IsGateway() const;
  // Address of a local member or of another data centre's gateway.
  std::optional<NodeAddress> AddressOf(const NodeId& node) const;
  // Gateways of other data centres whose digest is newer than
  // kDataCenterTimeout.
  std::vector<NodeId> RemoteGateways(TimePoint now) const;
  // Increases with each applied member update and each newer digest.
  uint64_t view_generation() const { return m_view_generation; }
  // Approximate memory used by this object, in bytes.
  size_t StateBytes() const;

 private:
  struct PendingProbe {
    NodeId target;
    TimePoint sent_at;
    enum class Stage { kDirect, kIndirect } stage = Stage::kDirect;
  };
  struct RelayedProbe {
    NodeAddress origin;
    uint32_t origin_number = 0;
    TimePoint sent_at;
  };
  struct Broadcast {
    NodeId node;
    uint32_t transmits_left = 0;
  };

  void CompensateForPause(TimePoint now);
  void StartProbe(TimePoint now, MembershipCommands& commands);
  void CheckProbes(TimePoint now, MembershipCommands& commands);
  void CheckSuspects(TimePoint now, MembershipCommands& commands);
  void PublishDigest(TimePoint now, MembershipCommands& commands);
  void GossipDigests(MembershipCommands& commands);
  void ContactSeed(TimePoint now, MembershipCommands& commands);
  void GossipUpdates(TimePoint now, MembershipCommands& commands);
  void NotifySuspects(MembershipCommands& commands);
  void ProbeFailedMember(MembershipCommands& commands);

  void OnProbe(const ProbeMessage& message, TimePoint now, MembershipCommands&);
  void OnProbeAnswer(const ProbeAnswerMessage& message,
                     TimePoint now,
                     MembershipCommands&);
  void OnGossip(const GossipMessage& message,
                TimePoint now,
                MembershipCommands&);
  void OnDigest(const DigestMessage& message,
                TimePoint now,
                MembershipCommands&);

  enum class Rebroadcast { kYes, kNo };

  void Apply(const Member& update,
             TimePoint now,
             MembershipCommands& commands,
             Rebroadcast rebroadcast = Rebroadcast::kYes);
  bool IsNewer(const GatewayDigest& digest) const;
  void Refute(const Member& update, TimePoint now);
  void CompareView(uint64_t view_hash,
                   const NodeAddress& peer,
                   TimePoint now,
                   MembershipCommands& commands);
  void SendProbe(const Member& target,
                 uint32_t number,
                 const NodeAddress& to,
                 MembershipCommands& commands);
  void SendTable(const NodeAddress& to,
                 GossipReply reply,
                 TimePoint now,
                 MembershipCommands& commands);
  void SendDigests(const NodeAddress& to, MembershipCommands& commands);
  std::vector<Member> TakeUpdates(const NodeId& addressee, size_t limit);
  void EnqueueBroadcast(const NodeId& node);
  NodeId NextTarget();
  const Member* RandomPeer();
  size_t RandomBelow(size_t bound);

  MembershipOptions m_options;
  std::mt19937_64 m_random;
  Member m_self;
  MemberTable m_table;
  std::vector<NodeId> m_gateways;
  Digests m_digests;
  std::vector<Broadcast> m_broadcasts;
  std::vector<NodeId> m_probe_order;
  // Members that this node suspects since they did not answer its own probes.
  std::vector<NodeId> m_unresponsive;
  std::unordered_map<uint32_t, PendingProbe> m_probes;
  std::unordered_map<uint32_t, RelayedProbe> m_relayed;
  uint32_t m_last_number = 0;
  uint32_t m_view_mismatches = 0;
  uint64_t m_digest_sequence = 0;
  uint64_t m_view_generation = 0;
  TimePoint m_last_tick;
  TimePoint m_next_probe;
  TimePoint m_next_digest;
  TimePoint m_next_digest_gossip;
  TimePoint m_next_seed_contact;
  TimePoint m_next_failed_probe;
  TimePoint m_next_expiry;
  TimePoint m_next_gossip;
};

}  // namespace pistachiowalk
