#pragma once

#include <cstddef>
#include <string>

#include "daemon/daemon_context.h"

namespace pistachiowalk {

// The JSON of GET /v1/status, which `pistachioctl status` shows.
std::string StatusDocument(const DaemonContext& context, size_t open_requests);

}  // namespace pistachiowalk
