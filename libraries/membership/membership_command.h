#pragma once

#include <string>
#include <variant>
#include <vector>

#include "membership/member.h"
#include "membership/node_envelope.h"

namespace pistachiowalk {

// Sends one datagram.
struct SendMembershipMessage {
  NodeAddress to;
  NodeMessageKind kind = NodeMessageKind::kProbe;
  std::string payload;
};

// Reports that a member's record changed in this node's view.
struct MemberChanged {
  Member member;
};

using MembershipCommand = std::variant<SendMembershipMessage, MemberChanged>;
using MembershipCommands = std::vector<MembershipCommand>;

}  // namespace pistachiowalk
