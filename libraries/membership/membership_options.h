#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "membership/node_address.h"

namespace pistachiowalk {

// Timing of the membership protocol.
constexpr Duration kMembershipTickInterval = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::seconds(1);
constexpr Duration kDirectProbeTimeout = std::chrono::milliseconds(300);
constexpr Duration kIndirectProbeTimeout = std::chrono::milliseconds(900);
constexpr Duration kSuspicionTimeout = std::chrono::seconds(4);
constexpr Duration kLeavePropagationTime = std::chrono::seconds(2);
constexpr Duration kDigestInterval = std::chrono::seconds(15);
constexpr Duration kDigestGossipInterval = std::chrono::seconds(1);
// A data centre is treated as unreachable when none of its gateways has
// published a digest for this long.
constexpr Duration kDataCenterTimeout = std::chrono::seconds(60);
constexpr Duration kSeedInterval = std::chrono::seconds(5);
constexpr Duration kJoinedSeedInterval = std::chrono::seconds(120);
constexpr Duration kFailedProbeInterval = std::chrono::seconds(5);
// How long failed and left nodes are kept as tombstones.
constexpr Duration kTombstoneRetention = std::chrono::hours(2);
// A longer interval between two ticks means that the process was paused.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(600);

constexpr size_t kIndirectProbes = 3;
constexpr size_t kGatewaysPerDataCenter = 2;

// Identity of this node and the seeds through which it joins.
struct MembershipOptions {
  NodeId node;
  DataCenterName data_center;
  NodeAddress address;
  NodeAddress http;
  // Must be higher than at any earlier start of this node.
  uint64_t incarnation = 1;
  std::vector<NodeAddress> seeds;
};

}  // namespace pistachiowalk
