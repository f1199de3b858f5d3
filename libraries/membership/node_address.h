#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiowalk {

// An IPv4 address and a port, both in host byte order.
struct NodeAddress {
  uint32_t ip = 0;
  uint16_t port = 0;

  friend auto operator<=>(const NodeAddress&, const NodeAddress&) = default;
};

// Formats as IP:PORT, for example "127.0.0.1:80".
std::string FormatNodeAddress(const NodeAddress& address);
// Returns nullopt if `text` is not IP:PORT.
std::optional<NodeAddress> ParseNodeAddress(std::string_view text);

}  // namespace pistachiowalk
