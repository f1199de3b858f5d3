#pragma once

#include <chrono>
#include <optional>

#include "base/ids.h"
#include "http1/socket_address.h"
#include "routing/endpoint.h"

namespace pistachiowalk {

// An endpoint as it announces itself.
struct EndpointEntry {
  EndpointId id;
  ServiceName service;
  SocketAddress address;
  DataCenterName data_center;
  uint32_t slots = 1;
  EndpointState state = EndpointState::kLive;
  // May be taken away at short notice.
  bool is_reclaimable = false;
  // When this incarnation started, in milliseconds since 1970; 0 if unknown.
  uint64_t incarnation = 0;

  friend auto operator<=>(const EndpointEntry&, const EndpointEntry&) = default;
};

}  // namespace pistachiowalk
