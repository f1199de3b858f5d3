#include "membership/node_address.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace pistachiowalk {

std::string FormatNodeAddress(const NodeAddress& address) {
  return fmt::format("{}.{}.{}.{}:{}", address.ip >> 24U,
                     (address.ip >> 16U) & 0xffU, (address.ip >> 8U) & 0xffU,
                     address.ip & 0xffU, address.port);
}

std::optional<NodeAddress> ParseNodeAddress(std::string_view text) {
  const size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  in_addr ip{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) !=
      1) {
    return std::nullopt;
  }
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data() + colon + 1, end, port);
  if (result.ec != std::errc() || result.ptr != end || port == 0) {
    return std::nullopt;
  }
  return NodeAddress{.ip = ntohl(ip.s_addr), .port = port};
}

}  // namespace pistachiowalk
