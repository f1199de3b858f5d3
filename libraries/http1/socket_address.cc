#include "http1/socket_address.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace pistachiowalk {

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  SocketAddress address{.ip = std::string(text.substr(0, colon))};
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc() || end != port.data() + port.size() ||
      address.port == 0) {
    return std::nullopt;
  }
  return address;
}

std::string FormatSocketAddress(const SocketAddress& address) {
  return fmt::format("{}:{}", address.ip, address.port);
}

}  // namespace pistachiowalk
