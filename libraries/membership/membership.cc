#include "membership/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace pistachiowalk {
namespace {

// An update is transmitted this many times the bit width of the number of
// members.
constexpr uint32_t kTransmitMultiplier = 2;
// Peers notified of a leave directly; the others learn of it by gossip.
constexpr size_t kLeaveFanout = 8;
constexpr uint32_t kDigestTransmits = 2;
constexpr size_t kGossipFanout = 1;
constexpr Duration kGossipInterval = std::chrono::milliseconds(200);
constexpr Duration kExpiryInterval = std::chrono::seconds(10);

}  // namespace

Membership::Membership(MembershipOptions options, uint64_t seed, TimePoint now)
    : m_options(std::move(options)), m_random(seed), m_last_tick(now) {
  m_self = Member{.node = m_options.node,
                  .data_center = m_options.data_center,
                  .address = m_options.address,
                  .http = m_options.http,
                  .incarnation = m_options.incarnation,
                  .state = MemberState::kAlive};
  m_table.Apply(m_self, now);
  m_gateways = m_table.live();
  // NOTE: The first timers are randomized within their intervals, so that nodes
  // started at the same time do not send at the same time.
  const auto within = [this, now](Duration interval) {
    return now + Duration(RandomBelow(static_cast<size_t>(interval.count())));
  };
  m_next_probe = within(kProbeInterval);
  m_next_digest = within(kProbeInterval);
  m_next_digest_gossip = within(kDigestGossipInterval);
  m_next_seed_contact = now;
  m_next_failed_probe = within(kFailedProbeInterval);
}

size_t Membership::RandomBelow(size_t bound) {
  return std::uniform_int_distribution<size_t>(0, bound - 1)(m_random);
}

void Membership::Tick(TimePoint now, MembershipCommands& commands) {
  CompensateForPause(now);
  m_last_tick = now;
  CheckProbes(now, commands);
  CheckSuspects(now, commands);
  StartProbe(now, commands);
  GossipUpdates(now, commands);
  PublishDigest(now, commands);
  ContactSeed(now, commands);
}

void Membership::CompensateForPause(TimePoint now) {
  const Duration gap = now - m_last_tick;
  if (gap < kPauseThreshold) {
    return;
  }
  // NOTE: Answers and refutations may be waiting unread in the socket, so a
  // timeout that expired during the pause does not indicate a failed peer.
  m_probes.clear();
  m_relayed.clear();
  m_table.ShiftStateTimes(gap);
}

void Membership::StartProbe(TimePoint now, MembershipCommands& commands) {
  if (now < m_next_probe || m_self.state == MemberState::kLeft) {
    return;
  }
  m_next_probe = now + kProbeInterval;
  NotifySuspects(commands);
  const NodeId target = NextTarget();
  if (const Member* member = m_table.Find(target); member != nullptr) {
    const uint32_t number = ++m_last_number;
    m_probes[number] = PendingProbe{.target = target, .sent_at = now};
    SendProbe(*member, number, member->address, commands);
  }
  if (now >= m_next_failed_probe) {
    m_next_failed_probe = now + kFailedProbeInterval;
    ProbeFailedMember(commands);
  }
}

// Sends a probe with the suspicion to the nodes that this one suspects, so
// that a live one refutes it sooner than gossip would have reached it.
void Membership::NotifySuspects(MembershipCommands& commands) {
  std::erase_if(m_unresponsive, [this](const NodeId& node) {
    const Member* member = m_table.Find(node);
    return member == nullptr || member->state != MemberState::kSuspect;
  });
  for (const NodeId& node : m_unresponsive) {
    const Member& member = *m_table.Find(node);
    SendProbe(member, ++m_last_number, member.address, commands);
  }
}

// NOTE: A member marked failed may only have been partitioned from this node.
// The probe contains its recorded state, which it then refutes.
void Membership::ProbeFailedMember(MembershipCommands& commands) {
  std::vector<const Member*> failed;
  for (const auto& [node, record] : m_table.records()) {
    if (record.member.state == MemberState::kFailed) {
      failed.push_back(&record.member);
    }
  }
  if (!failed.empty()) {
    const Member& member = *failed[RandomBelow(failed.size())];
    SendProbe(member, ++m_last_number, member.address, commands);
  }
}

void Membership::CheckProbes(TimePoint now, MembershipCommands& commands) {
  std::vector<NodeId> unanswered;
  for (auto it = m_probes.begin(); it != m_probes.end();) {
    PendingProbe& probe = it->second;
    const Member* target = m_table.Find(probe.target);
    if (target == nullptr || !IsLive(*target)) {
      it = m_probes.erase(it);
      continue;
    }
    if (probe.stage == PendingProbe::Stage::kDirect &&
        now - probe.sent_at >= kDirectProbeTimeout) {
      probe.stage = PendingProbe::Stage::kIndirect;
      for (size_t i = 0; i < kIndirectProbes; ++i) {
        const Member* relay = RandomPeer();
        if (relay != nullptr && relay->node != probe.target) {
          SendProbe(*target, it->first, relay->address, commands);
        }
      }
    }
    if (now - probe.sent_at >= kIndirectProbeTimeout) {
      unanswered.push_back(probe.target);
      it = m_probes.erase(it);
      continue;
    }
    ++it;
  }
  std::erase_if(m_relayed, [now](const auto& item) {
    return now - item.second.sent_at >= kIndirectProbeTimeout;
  });
  for (const NodeId& node : unanswered) {
    Member suspect = *m_table.Find(node);
    suspect.state = MemberState::kSuspect;
    Apply(suspect, now, commands);
    m_unresponsive.push_back(node);
  }
}

void Membership::CheckSuspects(TimePoint now, MembershipCommands& commands) {
  if (now >= m_next_expiry) {
    m_next_expiry = now + kExpiryInterval;
    m_table.Expire(now - kTombstoneRetention);
  }
  if (m_table.suspects() == 0) {
    return;
  }
  std::vector<Member> failed;
  for (const auto& [node, record] : m_table.records()) {
    if (record.member.state == MemberState::kSuspect &&
        now - record.since >= kSuspicionTimeout) {
      failed.push_back(record.member);
    }
  }
  for (Member& member : failed) {
    member.state = MemberState::kFailed;
    Apply(member, now, commands);
  }
}

void Membership::PublishDigest(TimePoint now, MembershipCommands& commands) {
  if (now >= m_next_digest && IsGateway()) {
    m_next_digest = now + kDigestInterval;
    DigestRecord& own = m_digests[{m_self.data_center, m_self.node}];
    own.digest = GatewayDigest{
        .data_center = m_self.data_center,
        .gateway = m_self.node,
        .address = m_self.address,
        .http = m_self.http,
        .incarnation = m_self.incarnation,
        .sequence = ++m_digest_sequence,
        .live_nodes = static_cast<uint32_t>(m_table.live().size())};
    own.received_at = now;
    own.transmits_left = kDigestTransmits;
    std::vector<NodeAddress> remote;
    for (const auto& [key, record] : m_digests) {
      if (key.first != m_self.data_center) {
        remote.push_back(record.digest.address);
      }
    }
    // NOTE: Sent to several, so that a digest reaches 18 data centres in two
    // rounds.
    for (size_t i = 0; i < kIndirectProbes && !remote.empty(); ++i) {
      SendDigests(remote[RandomBelow(remote.size())], commands);
    }
  }
  if (now >= m_next_digest_gossip) {
    m_next_digest_gossip = now + kDigestGossipInterval;
    GossipDigests(commands);
  }
}

void Membership::GossipDigests(MembershipCommands& commands) {
  const Member* peer = RandomPeer();
  if (peer == nullptr) {
    return;
  }
  DigestMessage message;
  for (auto& [key, record] : m_digests) {
    if (record.transmits_left > 0 &&
        message.digests.size() < kMaximumDigestsPerMessage) {
      --record.transmits_left;
      message.digests.push_back(record.digest);
    }
  }
  if (!message.digests.empty()) {
    commands.push_back(
        SendMembershipMessage{peer->address, NodeMessageKind::kDigest,
                              EncodeMessage(std::move(message))});
  }
}

void Membership::SendDigests(const NodeAddress& to,
                             MembershipCommands& commands) {
  std::vector<const DigestRecord*> records;
  for (const auto& [key, record] : m_digests) {
    records.push_back(&record);
  }
  // Newest first, since older digests have likely reached the recipient
  // already.
  std::sort(records.begin(), records.end(), [](const auto* a, const auto* b) {
    return a->received_at > b->received_at;
  });
  DigestMessage message;
  for (const DigestRecord* record : records) {
    if (message.digests.size() < kMaximumDigestsPerMessage) {
      message.digests.push_back(record->digest);
    }
  }
  commands.push_back(SendMembershipMessage{to, NodeMessageKind::kDigest,
                                           EncodeMessage(std::move(message))});
}

// Contacts seeds that are not known to be live: to join at startup, and to
// rejoin after a partition that lasted longer than all records are kept.
void Membership::ContactSeed(TimePoint now, MembershipCommands& commands) {
  if (now < m_next_seed_contact || m_self.state == MemberState::kLeft) {
    return;
  }
  m_next_seed_contact = now + kSeedInterval;
  std::vector<NodeAddress> unknown;
  for (const NodeAddress& seed : m_options.seeds) {
    const bool is_member =
        std::any_of(m_table.records().begin(), m_table.records().end(),
                    [&seed](const auto& item) {
                      return IsLive(item.second.member) &&
                             item.second.member.address == seed;
                    });
    const bool is_gateway =
        std::any_of(m_digests.begin(), m_digests.end(), [&](const auto& item) {
          return item.second.digest.address == seed &&
                 now - item.second.received_at < kDataCenterTimeout;
        });
    if (!is_member && !is_gateway) {
      unknown.push_back(seed);
    }
  }
  if (unknown.empty()) {
    return;
  }
  // NOTE: A node without peers contacts every seed. A joined one contacts a
  // random one at long intervals, or the seeds would be the most loaded nodes.
  if (m_table.live().size() > 1) {
    unknown = {unknown[RandomBelow(unknown.size())]};
    m_next_seed_contact = now + kJoinedSeedInterval / 2 +
                          Duration(RandomBelow(kJoinedSeedInterval.count()));
  }
  for (const NodeAddress& seed : unknown) {
    GossipMessage message{
        .reply = GossipReply::kWanted, .sender = m_self, .members = {m_self}};
    commands.push_back(SendMembershipMessage{
        seed, NodeMessageKind::kGossip, EncodeMessage(std::move(message))});
  }
}

void Membership::Leave(TimePoint now, MembershipCommands& commands) {
  ++m_self.incarnation;
  m_self.state = MemberState::kLeft;
  Apply(m_self, now, commands);
  for (size_t i = 0; i < kLeaveFanout; ++i) {
    if (const Member* peer = RandomPeer(); peer != nullptr) {
      GossipMessage message{.sender = m_self, .members = {m_self}};
      commands.push_back(
          SendMembershipMessage{peer->address, NodeMessageKind::kGossip,
                                EncodeMessage(std::move(message))});
    }
  }
}

void Membership::EnqueueBroadcast(const NodeId& node) {
  const auto doublings =
      static_cast<uint32_t>(std::bit_width(m_table.records().size()));
  std::erase_if(m_broadcasts,
                [&node](const Broadcast& item) { return item.node == node; });
  m_broadcasts.push_back(Broadcast{node, kTransmitMultiplier * doublings});
}

// NOTE: Updates piggybacked on probes alone would take several seconds to
// reach all nodes of a data centre. Updates are rare, so separate gossip
// messages are affordable.
void Membership::GossipUpdates(TimePoint now, MembershipCommands& commands) {
  if (m_broadcasts.empty() || now < m_next_gossip) {
    return;
  }
  m_next_gossip = now + kGossipInterval;
  for (size_t i = 0; i < kGossipFanout; ++i) {
    const Member* peer = RandomPeer();
    if (peer == nullptr || m_broadcasts.empty()) {
      return;
    }
    GossipMessage message{
        .sender = m_self,
        .members = TakeUpdates(peer->node, kUpdatesPerGossip)};
    commands.push_back(
        SendMembershipMessage{peer->address, NodeMessageKind::kGossip,
                              EncodeMessage(std::move(message))});
  }
}

std::vector<Member> Membership::TakeUpdates(const NodeId& addressee,
                                            size_t limit) {
  std::vector<Member> updates;
  // NOTE: A recipient that is not recorded as alive must learn of it to be able
  // to refute it.
  const Member* known = m_table.Find(addressee);
  if (known != nullptr && known->state != MemberState::kAlive) {
    updates.push_back(*known);
  }
  const auto is_less_transmitted = [](const Broadcast& a, const Broadcast& b) {
    return a.transmits_left > b.transmits_left;
  };
  const size_t taken = std::min(limit, m_broadcasts.size());
  std::partial_sort(m_broadcasts.begin(),
                    m_broadcasts.begin() + static_cast<ptrdiff_t>(taken),
                    m_broadcasts.end(), is_less_transmitted);
  for (Broadcast& item : m_broadcasts) {
    if (updates.size() >= limit) {
      break;
    }
    if (const Member* member = m_table.Find(item.node); member != nullptr) {
      updates.push_back(*member);
    }
    --item.transmits_left;
  }
  std::erase_if(m_broadcasts,
                [](const Broadcast& item) { return item.transmits_left == 0; });
  return updates;
}

void Membership::SendProbe(const Member& target,
                           uint32_t number,
                           const NodeAddress& to,
                           MembershipCommands& commands) {
  ProbeMessage message{.number = number,
                       .target = target.node,
                       .target_address = target.address,
                       .sender = m_self,
                       .view_hash = m_table.view_hash(),
                       .updates = TakeUpdates(target.node, kUpdatesPerProbe)};
  commands.push_back(SendMembershipMessage{to, NodeMessageKind::kProbe,
                                           EncodeMessage(std::move(message))});
}

void Membership::SendTable(const NodeAddress& to,
                           GossipReply reply,
                           TimePoint now,
                           MembershipCommands& commands) {
  GossipMessage message{.reply = reply, .sender = m_self};
  const auto send = [&] {
    commands.push_back(SendMembershipMessage{to, NodeMessageKind::kGossip,
                                             EncodeMessage(message)});
    message.reply = GossipReply::kNone;
    message.members.clear();
  };
  for (const auto& [node, record] : m_table.records()) {
    // NOTE: Old tombstones are not sent, or peers would keep renewing them for
    // one another indefinitely.
    if (!IsLive(record.member) &&
        now - record.since > kTombstoneRetention / 2) {
      continue;
    }
    message.members.push_back(record.member);
    if (message.members.size() == kMaximumMembersPerMessage) {
      send();
    }
  }
  if (!message.members.empty()) {
    send();
  }
}

// Returns the next member of a shuffled round, so that every member is probed
// within a bounded time. The result is empty if there is no other member.
NodeId Membership::NextTarget() {
  while (true) {
    if (m_probe_order.empty()) {
      m_probe_order = m_table.live();
      std::erase(m_probe_order, m_self.node);
      std::shuffle(m_probe_order.begin(), m_probe_order.end(), m_random);
      if (m_probe_order.empty()) {
        return {};
      }
    }
    NodeId node = std::move(m_probe_order.back());
    m_probe_order.pop_back();
    const Member* member = m_table.Find(node);
    if (member != nullptr && IsLive(*member)) {
      return node;
    }
  }
}

const Member* Membership::RandomPeer() {
  const std::vector<NodeId>& live = m_table.live();
  const size_t peers =
      live.size() - (m_self.state == MemberState::kLeft ? 0 : 1);
  if (peers == 0 || live.empty()) {
    return nullptr;
  }
  const NodeId* node = &live[RandomBelow(live.size())];
  while (*node == m_self.node) {
    node = &live[RandomBelow(live.size())];
  }
  return m_table.Find(*node);
}

bool Membership::IsGateway() const {
  return std::find(m_gateways.begin(), m_gateways.end(), m_self.node) !=
         m_gateways.end();
}

std::optional<NodeAddress> Membership::AddressOf(const NodeId& node) const {
  if (const Member* member = m_table.Find(node); member != nullptr) {
    return member->address;
  }
  for (const auto& [key, record] : m_digests) {
    if (key.second == node) {
      return record.digest.address;
    }
  }
  return std::nullopt;
}

std::vector<NodeId> Membership::RemoteGateways(TimePoint now) const {
  std::vector<NodeId> nodes;
  for (const auto& [key, record] : m_digests) {
    if (key.first != m_self.data_center &&
        now - record.received_at < kDataCenterTimeout) {
      nodes.push_back(key.second);
    }
  }
  return nodes;
}

size_t Membership::StateBytes() const {
  // Overhead of a map node (links and colour) and the name's heap allocation.
  constexpr size_t kMapNodeBytes = 64;
  const size_t member_bytes = sizeof(MemberTable::Records::value_type) +
                              kMapNodeBytes + 3 * sizeof(NodeId);
  const size_t digest_bytes =
      sizeof(Digests::value_type) + kMapNodeBytes + sizeof(NodeId);
  return sizeof(*this) + m_table.records().size() * member_bytes +
         m_digests.size() * digest_bytes +
         m_broadcasts.size() * sizeof(Broadcast) +
         m_probe_order.size() * sizeof(NodeId);
}

}  // namespace pistachiowalk
