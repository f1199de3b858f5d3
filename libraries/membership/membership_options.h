#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "membership/node_address.h"

namespace pistachiowalk {

// Times of the membership protocol.
constexpr Duration kMembershipTickInterval = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::seconds(1);
constexpr Duration kDirectProbeTimeout = std::chrono::milliseconds(300);
constexpr Duration kIndirectProbeTimeout = std::chrono::milliseconds(900);
constexpr Duration kSuspicionTimeout = std::chrono::seconds(4);
constexpr Duration kLeavePropagationTime = std::chrono::seconds(2);
constexpr Duration kDigestInterval = std::chrono::seconds(15);
constexpr Duration kDigestGossipInterval = std::chrono::seconds(1);
// A data centre whose gateways were silent for this long is cut off.
constexpr Duration kDataCenterTimeout = std::chrono::seconds(60);
constexpr Duration kSeedInterval = std::chrono::seconds(5);
constexpr Duration kJoinedSeedInterval = std::chrono::seconds(120);
constexpr Duration kFailedProbeInterval = std::chrono::seconds(5);
// How long failed and left nodes are remembered.
constexpr Duration kTombstoneRetention = std::chrono::hours(2);
// A tick later than this shows that the process was paused.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(600);

constexpr size_t kIndirectProbes = 3;
constexpr size_t kGatewaysPerDataCenter = 2;

// Who this node is and where it first asks.
struct MembershipOptions {
  NodeId node;
  DataCenterName data_center;
  NodeAddress address;
  NodeAddress http;
  // Higher than at any earlier start of this node.
  uint64_t incarnation = 1;
  std::vector<NodeAddress> seeds;
};

}  // namespace pistachiowalk
