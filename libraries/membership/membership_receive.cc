#include <utility>

#include "membership/membership.h"

namespace pistachiowalk {
namespace {

// Consecutive view mismatches that trigger a full table exchange. A few are
// expected while updates are still propagating.
constexpr uint32_t kMismatchesBeforeRepair = 4;
constexpr uint32_t kDigestTransmits = 2;

}  // namespace

void Membership::Receive(const NodeEnvelope& envelope,
                         TimePoint now,
                         MembershipCommands& commands) {
  const auto dispatch = [&]<class Message>(auto handler) {
    if (auto message = DecodeMessage<Message>(envelope.payload)) {
      (this->*handler)(*message, now, commands);
    }
  };
  switch (envelope.kind) {
    case NodeMessageKind::kProbe:
      dispatch.operator()<ProbeMessage>(&Membership::OnProbe);
      return;
    case NodeMessageKind::kProbeAnswer:
      dispatch.operator()<ProbeAnswerMessage>(&Membership::OnProbeAnswer);
      return;
    case NodeMessageKind::kGossip:
      dispatch.operator()<GossipMessage>(&Membership::OnGossip);
      return;
    case NodeMessageKind::kDigest:
      dispatch.operator()<DigestMessage>(&Membership::OnDigest);
      return;
    default:
      return;
  }
}

void Membership::Apply(const Member& update,
                       TimePoint now,
                       MembershipCommands& commands,
                       Rebroadcast rebroadcast) {
  if (update.data_center != m_self.data_center) {
    return;
  }
  if (update.node == m_self.node && update != m_self) {
    Refute(update, now);
    return;
  }
  if (!m_table.Apply(update, now)) {
    return;
  }
  m_gateways = HighestRanked("gateway", m_table.live(), kGatewaysPerDataCenter);
  ++m_view_generation;
  if (rebroadcast == Rebroadcast::kYes) {
    EnqueueBroadcast(update.node);
  }
  commands.push_back(MemberChanged{update});
}

// Handles an update about this node that did not originate from it: raises the
// incarnation above the update's, unless the update is outdated.
void Membership::Refute(const Member& update, TimePoint now) {
  const bool is_old = update.incarnation < m_self.incarnation ||
                      (update.incarnation == m_self.incarnation &&
                       update.state <= m_self.state);
  if (is_old) {
    return;
  }
  m_self.incarnation = update.incarnation + 1;
  m_table.Apply(m_self, now);
  EnqueueBroadcast(m_self.node);
}

void Membership::OnProbe(const ProbeMessage& message,
                         TimePoint now,
                         MembershipCommands& commands) {
  Apply(message.sender, now, commands);
  for (const Member& update : message.updates) {
    Apply(update, now, commands);
  }
  if (message.target != m_self.node) {
    const uint32_t number = ++m_last_number;
    m_relayed[number] = RelayedProbe{.origin = message.sender.address,
                                     .origin_number = message.number,
                                     .sent_at = now};
    // NOTE: Uses the address from the message, since this node may not know the
    // target.
    const Member target{.node = message.target,
                        .address = message.target_address};
    SendProbe(target, number, target.address, commands);
    return;
  }
  ProbeAnswerMessage answer{
      .number = message.number,
      .sender = m_self,
      .view_hash = m_table.view_hash(),
      .updates = TakeUpdates(message.sender.node, kUpdatesPerProbe)};
  commands.push_back(SendMembershipMessage{message.sender.address,
                                           NodeMessageKind::kProbeAnswer,
                                           EncodeMessage(std::move(answer))});
}

void Membership::OnProbeAnswer(const ProbeAnswerMessage& message,
                               TimePoint now,
                               MembershipCommands& commands) {
  Apply(message.sender, now, commands);
  for (const Member& update : message.updates) {
    Apply(update, now, commands);
  }
  if (const auto it = m_relayed.find(message.number); it != m_relayed.end()) {
    ProbeAnswerMessage answer = message;
    answer.number = it->second.origin_number;
    answer.updates.clear();
    commands.push_back(SendMembershipMessage{it->second.origin,
                                             NodeMessageKind::kProbeAnswer,
                                             EncodeMessage(std::move(answer))});
    m_relayed.erase(it);
    return;
  }
  const auto it = m_probes.find(message.number);
  if (it == m_probes.end() || it->second.target != message.sender.node) {
    return;
  }
  m_probes.erase(it);
  CompareView(message.view_hash, message.sender.address, now, commands);
}

void Membership::CompareView(uint64_t view_hash,
                             const NodeAddress& peer,
                             TimePoint now,
                             MembershipCommands& commands) {
  if (view_hash == m_table.view_hash()) {
    m_view_mismatches = 0;
    return;
  }
  if (++m_view_mismatches >= kMismatchesBeforeRepair) {
    m_view_mismatches = 0;
    SendTable(peer, GossipReply::kWanted, now, commands);
  }
}

void Membership::OnGossip(const GossipMessage& message,
                          TimePoint now,
                          MembershipCommands& commands) {
  Apply(message.sender, now, commands);
  // NOTE: The members of a full table part are known to the other nodes
  // already. Rebroadcasting them would broadcast the whole table on every join.
  const Rebroadcast rebroadcast = message.members.size() > kUpdatesPerGossip
                                      ? Rebroadcast::kNo
                                      : Rebroadcast::kYes;
  for (const Member& member : message.members) {
    Apply(member, now, commands, rebroadcast);
  }
  if (message.reply != GossipReply::kWanted) {
    return;
  }
  if (message.sender.data_center == m_self.data_center) {
    SendTable(message.sender.address, GossipReply::kNone, now, commands);
  }
  SendDigests(message.sender.address, commands);
}

bool Membership::IsNewer(const GatewayDigest& digest) const {
  const auto it = m_digests.find({digest.data_center, digest.gateway});
  if (it == m_digests.end()) {
    return true;
  }
  const GatewayDigest& known = it->second.digest;
  return std::pair(digest.incarnation, digest.sequence) >
         std::pair(known.incarnation, known.sequence);
}

void Membership::OnDigest(const DigestMessage& message,
                          TimePoint now,
                          MembershipCommands& commands) {
  for (const GatewayDigest& digest : message.digests) {
    if (digest.gateway == m_self.node || !IsNewer(digest)) {
      continue;
    }
    ++m_view_generation;
    m_digests[{digest.data_center, digest.gateway}] =
        DigestRecord{digest, now, kDigestTransmits};
    // This is how a node that joined through a seed of another data centre
    // finds the nodes of its own.
    if (digest.data_center == m_self.data_center &&
        m_table.Find(digest.gateway) == nullptr) {
      SendTable(digest.address, GossipReply::kWanted, now, commands);
    }
  }
  // NOTE: Digests of former gateways are removed, or the table would grow with
  // every replaced node.
  std::erase_if(m_digests, [now](const auto& item) {
    return now - item.second.received_at > kTombstoneRetention;
  });
}

}  // namespace pistachiowalk
