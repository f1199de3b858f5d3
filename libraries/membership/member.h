#pragma once

#include <cstdint>

#include "base/ids.h"
#include "membership/node_address.h"

namespace pistachiowalk {

// NOTE: Ordered by precedence: within one incarnation, a later state overrides
// an earlier one.
enum class MemberState : uint8_t { kAlive, kSuspect, kFailed, kLeft };

// Known state of one entry node of this data centre.
struct Member {
  NodeId node;
  DataCenterName data_center;
  NodeAddress address;
  NodeAddress http;
  // Increased only by the node itself: when it starts, and to refute a
  // suspicion.
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  friend auto operator<=>(const Member&, const Member&) = default;
};

// Whether `member` counts as live. Suspects do, since they may still refute
// the suspicion.
inline bool IsLive(const Member& member) {
  return member.state <= MemberState::kSuspect;
}

// Whether `update` is newer than `known` and replaces it.
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
