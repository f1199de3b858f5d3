#include "net/node_frame.h"

#include <sodium.h>

#include <cstdlib>

#include "base/bounded_codec.h"
#include "membership/node_port.h"

namespace pistachiowalk {

template <class Archive>
void serialize(Archive& archive, NodeEnvelope& envelope) {
  ArchiveName(archive, envelope.sender);
  archive(envelope.incarnation, envelope.sequence, envelope.kind);
  ArchiveText(archive, envelope.payload, kMaximumMessagePayload);
}

namespace {

constexpr char kFrameVersion = 1;
constexpr size_t kBodyOffset = 1 + kNodeFrameMacBytes;
constexpr char kAcknowledgement[] = "acknowledged";

std::string AddressBytes(const NodeAddress& address) {
  return FormatNodeAddress(address);
}

std::string ComputeMac(const ClusterKey& key,
                       std::string_view context,
                       std::string_view body) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, key.data(), key.size(), kNodeFrameMacBytes);
  const auto update = [&state](std::string_view bytes) {
    crypto_generichash_update(
        &state, reinterpret_cast<const unsigned char*>(bytes.data()),
        bytes.size());
  };
  update(context);
  update(body);
  std::string mac(kNodeFrameMacBytes, '\0');
  crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(mac.data()),
                           mac.size());
  return mac;
}

}  // namespace

std::optional<ClusterKey> ParseClusterKey(std::string_view hex) {
  ClusterKey key{};
  size_t length = 0;
  const bool is_hex =
      hex.size() == 2 * kClusterKeyBytes &&
      sodium_hex2bin(key.data(), key.size(), hex.data(), hex.size(), nullptr,
                     &length, nullptr) == 0 &&
      length == kClusterKeyBytes;
  return is_hex ? std::optional(key) : std::nullopt;
}

ClusterKey GenerateClusterKey() {
  ClusterKey key{};
  randombytes_buf(key.data(), key.size());
  return key;
}

NodeFrameCodec::NodeFrameCodec(std::vector<ClusterKey> keys)
    : m_keys(std::move(keys)) {
  // NOTE: If libsodium's initialization fails, its random generator and
  // primitives must not be used.
  if (sodium_init() < 0) {
    std::abort();
  }
}

std::string NodeFrameCodec::Seal(const NodeEnvelope& envelope,
                                 const NodeAddress& destination) const {
  const std::string body = EncodeMessage(envelope);
  std::string frame(1, kFrameVersion);
  frame += ComputeMac(m_keys.front(), AddressBytes(destination), body);
  frame += body;
  return frame;
}

std::optional<OpenedNodeFrame> NodeFrameCodec::Open(
    std::string_view frame,
    const NodeAddress& destination) const {
  if (frame.size() <= kBodyOffset || frame.front() != kFrameVersion) {
    return std::nullopt;
  }
  const std::string_view mac = frame.substr(1, kNodeFrameMacBytes);
  const std::string_view body = frame.substr(kBodyOffset);
  const std::string context = AddressBytes(destination);
  for (size_t i = 0; i < m_keys.size(); ++i) {
    const std::string expected = ComputeMac(m_keys[i], context, body);
    if (sodium_memcmp(expected.data(), mac.data(), mac.size()) != 0) {
      continue;
    }
    auto envelope = DecodeMessage<NodeEnvelope>(body);
    return envelope ? std::optional(OpenedNodeFrame{std::move(*envelope), i})
                    : std::nullopt;
  }
  return std::nullopt;
}

std::string NodeFrameCodec::Acknowledge(std::string_view frame,
                                        size_t key_index) const {
  return ComputeMac(m_keys.at(key_index), kAcknowledgement,
                    frame.substr(1, kNodeFrameMacBytes));
}

}  // namespace pistachiowalk
