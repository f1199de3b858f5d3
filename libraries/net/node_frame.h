#pragma once

#include <array>
#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/node_address.h"
#include "membership/node_envelope.h"

namespace pistachiowalk {

constexpr size_t kClusterKeyBytes = 32;
constexpr size_t kNodeFrameMacBytes = 16;

using ClusterKey = std::array<uint8_t, kClusterKeyBytes>;

// Decodes a key; nullopt if `hex` is not 64 hexadecimal digits.
std::optional<ClusterKey> ParseClusterKey(std::string_view hex);
// Generates a random key, which no other node has.
ClusterKey GenerateClusterKey();

// The contents of a frame whose MAC was verified.
struct OpenedNodeFrame {
  NodeEnvelope envelope;
  // Index of the key that verified it; acknowledgements use the same key.
  size_t key_index = 0;
};

// Encodes envelopes as authenticated frames: a version byte, a BLAKE2b MAC
// keyed with the cluster's secret, and the envelope in cereal's portable binary
// format. The MAC covers the destination address, so that a frame captured on
// its way to one node is rejected by all others.
class NodeFrameCodec {
 public:
  // The first key authenticates sent frames; received frames are accepted with
  // any key. To rotate keys, append the new key on every node, then move it to
  // the front, then remove the old one.
  explicit NodeFrameCodec(std::vector<ClusterKey> keys);

  std::string Seal(const NodeEnvelope& envelope,
                   const NodeAddress& destination) const;
  // nullopt if the frame is truncated, altered, sealed with an unknown key or
  // addressed to another destination.
  std::optional<OpenedNodeFrame> Open(std::string_view frame,
                                      const NodeAddress& destination) const;
  // Returns the acknowledgement of `frame`: a MAC of kNodeFrameMacBytes bytes
  // that only holders of the key can compute.
  std::string Acknowledge(std::string_view frame, size_t key_index) const;

 private:
  std::vector<ClusterKey> m_keys;
};

}  // namespace pistachiowalk
