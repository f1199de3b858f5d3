#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// The state that a peer needs to continue a stream of a node that stops, for
// example because its VM is reclaimed. Sent as
// NodeMessageKind::kStreamHandover.
struct StreamHandover {
  RequestId request;
  CustomerName customer;
  ServiceName service;
  // Time left until the deadline. It is relative because the clocks of nodes
  // differ.
  uint64_t remaining_milliseconds = 0;
  // The caller's chat request.
  std::string body;
  // Tokens already sent to the caller, in order.
  std::vector<std::string> tokens;

  friend auto operator<=>(const StreamHandover&,
                          const StreamHandover&) = default;
};

// Serializes as cereal's portable binary format with bounded lengths.
std::string EncodeStreamHandover(const StreamHandover& handover);
// Returns nullopt if `bytes` is not a complete handover.
std::optional<StreamHandover> DecodeStreamHandover(std::string_view bytes);

}  // namespace pistachiowalk
