#pragma once

#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"
#include "membership/gateway_digest.h"
#include "membership/member.h"

// The membership protocol's messages and their serialization.
namespace pistachiowalk {

// Limits that keep a message within one datagram.
constexpr size_t kMaximumMembersPerMessage = 16;
constexpr size_t kMaximumDigestsPerMessage = 12;
// Member updates piggybacked on one probe or answer, and sent in one gossip
// message.
constexpr size_t kUpdatesPerProbe = 6;
constexpr size_t kUpdatesPerGossip = 12;

// Requests an answer from `target`. A receiver other than `target` relays the
// probe to it (indirect probe).
struct ProbeMessage {
  uint32_t number = 0;
  NodeId target;
  NodeAddress target_address;
  Member sender;
  // MemberTable::view_hash() of the sender. Repeated mismatches trigger a full
  // table exchange.
  uint64_t view_hash = 0;
  std::vector<Member> updates;
};

struct ProbeAnswerMessage {
  uint32_t number = 0;
  Member sender;
  uint64_t view_hash = 0;
  std::vector<Member> updates;
};

enum class GossipReply : uint8_t { kNone, kWanted };

// Member updates, or a part of the sender's full table.
struct GossipMessage {
  GossipReply reply = GossipReply::kNone;
  Member sender;
  std::vector<Member> members;
};

struct DigestMessage {
  std::vector<GatewayDigest> digests;
};

template <class Archive>
void serialize(Archive& archive, NodeAddress& address) {
  archive(address.ip, address.port);
}

template <class Archive>
void serialize(Archive& archive, Member& member) {
  ArchiveName(archive, member.node);
  ArchiveName(archive, member.data_center);
  archive(member.address, member.http, member.incarnation, member.state);
  if (member.state > MemberState::kLeft || member.node.IsEmpty()) {
    throw cereal::Exception("member with unknown state or empty node name");
  }
}

template <class Archive>
void serialize(Archive& archive, GatewayDigest& digest) {
  ArchiveName(archive, digest.data_center);
  ArchiveName(archive, digest.gateway);
  archive(digest.address, digest.http, digest.incarnation, digest.sequence,
          digest.live_nodes);
}

template <class Archive>
void serialize(Archive& archive, ProbeMessage& message) {
  archive(message.number);
  ArchiveName(archive, message.target);
  archive(message.target_address, message.sender, message.view_hash);
  ArchiveList(archive, message.updates, kMaximumMembersPerMessage);
}

template <class Archive>
void serialize(Archive& archive, ProbeAnswerMessage& message) {
  archive(message.number, message.sender, message.view_hash);
  ArchiveList(archive, message.updates, kMaximumMembersPerMessage);
}

template <class Archive>
void serialize(Archive& archive, GossipMessage& message) {
  archive(message.reply, message.sender);
  ArchiveList(archive, message.members, kMaximumMembersPerMessage);
}

template <class Archive>
void serialize(Archive& archive, DigestMessage& message) {
  ArchiveList(archive, message.digests, kMaximumDigestsPerMessage);
}

}  // namespace pistachiowalk
