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

// nullopt when `hex` is not 64 lower-case hexadecimal digits.
std::optional<ClusterKey> ParseClusterKey(std::string_view hex);
// A key that no other node has.
ClusterKey GenerateClusterKey();

// A frame that was found authentic.
struct OpenedNodeFrame {
  NodeEnvelope envelope;
  // Which key opened it; acknowledgements use the same.
  size_t key_index = 0;
};

// Envelopes in their authenticated wire form: a version, a BLAKE2b MAC keyed
// by the cluster's secret, and the envelope in cereal's portable binary form.
// The MAC covers the destination, so that a frame recorded on its way to one
// node is refused by every other.
class NodeFrameCodec {
 public:
  // The first key signs, each opens: a new key is first added at the end on
  // every node, then moved to the front, then the old one is taken away.
  explicit NodeFrameCodec(std::vector<ClusterKey> keys);

  std::string Seal(const NodeEnvelope& envelope,
                   const NodeAddress& destination) const;
  // nullopt for a frame that is truncated, altered, sealed by a stranger or
  // meant for another address.
  std::optional<OpenedNodeFrame> Open(std::string_view frame,
                                      const NodeAddress& destination) const;
  // The proof of receipt of `frame`, of kNodeFrameMacBytes.
  std::string Acknowledge(std::string_view frame, size_t key_index) const;

 private:
  std::vector<ClusterKey> m_keys;
};

}  // namespace pistachiowalk
