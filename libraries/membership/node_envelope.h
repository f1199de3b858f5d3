#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace pistachiowalk {

// Type of a message between nodes. Each component uses its own range.
enum class NodeMessageKind : uint16_t {
  // 1 to 99: membership.
  kProbe = 1,
  kProbeAnswer = 2,
  kGossip = 3,
  kDigest = 4,
  // 100 to 199: bundle.
  kBundleOffer = 100,
  kBundleRequest = 101,
  kBundleContent = 102,
  // 200 to 299: request.
  kStreamHandover = 200,
  kClaimForward = 201,
  kClaimAnswer = 202,
  // 300 to 399: routing.
  kLoadDigest = 300,
  kLimitDemand = 301,
  kEndpointLeaving = 302,
  // 400 to 499: fleet.
  kReclaimNotice = 400,
};

// A message between entry nodes. `payload` is the message for `kind`,
// serialized in cereal's portable binary format. The transport authenticates
// the whole envelope.
struct NodeEnvelope {
  NodeId sender;
  // Increases with each start of the sender.
  uint64_t incarnation = 0;
  // Increases with each message of the incarnation; used to drop replays.
  uint64_t sequence = 0;
  NodeMessageKind kind = NodeMessageKind::kProbe;
  std::string payload;

  friend auto operator<=>(const NodeEnvelope&, const NodeEnvelope&) = default;
};

}  // namespace pistachiowalk
