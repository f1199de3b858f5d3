#pragma once

#include <string_view>

#include "http1/server_connection.h"
#include "serving/serving_config.h"

// Names shared by the source files of a gateway.
namespace pistachiowalk {

// Key prefix of the nodes' entries in the store.
inline constexpr std::string_view kGatewayNodesPrefix = "pistachiowalk/nodes/";
// Names of the snapshots that peers can fetch.
inline constexpr const char* kConfigSnapshotName = "config";
inline constexpr const char* kEndpointsSnapshotName = "endpoints";
inline constexpr const char* kNodesSnapshotName = "nodes";

// Converts the config's limits on callers to those of the HTTP service.
ServerLimits ToServerLimits(const CallerLimits& limits);

}  // namespace pistachiowalk
