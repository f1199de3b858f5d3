#pragma once

#include <chrono>
#include <optional>

#include "base/ids.h"
#include "http1/socket_address.h"
#include "routing/endpoint.h"

namespace pistachiowalk {

// An endpoint's entry in the store, as parsed.
struct EndpointEntry {
  EndpointId id;
  ServiceName service;
  SocketAddress address;
  DataCenterName data_center;
  // "" if the endpoint names none.
  SoftwareVersion version;
  uint32_t slots = 1;
  EndpointState state = EndpointState::kLive;
  // Runs on a VM that may be reclaimed at short notice.
  bool is_reclaimable = false;
  // Start of this incarnation in milliseconds since 1970; 0 if unknown.
  uint64_t incarnation = 0;
  // Number of what the endpoint wrote last; increases within an incarnation.
  uint64_t sequence = 0;

  friend auto operator<=>(const EndpointEntry&, const EndpointEntry&) = default;
};

}  // namespace pistachiowalk
