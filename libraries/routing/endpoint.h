#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace pistachiowalk {

enum class EndpointState { kLive, kLeaving };

// An endpoint as listed in the VM list.
struct Endpoint {
  EndpointId id;
  VmId vm;
  std::string address;
  uint16_t port = 0;
  PlaceName place;
  VmClassName vm_class;
  ServiceName service;
  EndpointState state = EndpointState::kLive;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}  // namespace pistachiowalk
