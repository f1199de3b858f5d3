#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiowalk {

// An IPv4 address and port.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;
};

// Parses an address such as "10.1.0.14:8221"; nullopt if it is malformed.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);
std::string FormatSocketAddress(const SocketAddress& address);

}  // namespace pistachiowalk
