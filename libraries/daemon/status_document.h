#pragma once

#include <cstddef>
#include <string>

#include "daemon/daemon_context.h"

namespace pistachiowalk {

// Returns the JSON document served at GET /v1/status, which `pistachioctl
// status` prints.
std::string StatusDocument(const DaemonContext& context, size_t open_requests);

}  // namespace pistachiowalk
