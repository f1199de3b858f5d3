#pragma once

#include <cstdint>

#include "base/ids.h"
#include "membership/node_address.h"

namespace pistachiowalk {

// NOTE: In order of precedence within one incarnation.
enum class MemberState : uint8_t { kAlive, kSuspect, kFailed, kLeft };

// What is known of one entry node of this data centre.
struct Member {
  NodeId node;
  DataCenterName data_center;
  NodeAddress address;
  NodeAddress http;
  // Only the node itself raises it: at its start, and to refute a suspicion.
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  friend auto operator<=>(const Member&, const Member&) = default;
};

// Whether `member` is counted as live; a suspect still is.
inline bool IsLive(const Member& member) {
  return member.state <= MemberState::kSuspect;
}

// Whether `news` is newer than `known`, so that it replaces it.
inline bool Supersedes(const Member& update, const Member& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return update.state > known.state;
}

constexpr const char* MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kFailed:
      return "failed";
    case MemberState::kLeft:
      return "left";
  }
  return "";
}

}  // namespace pistachiowalk
