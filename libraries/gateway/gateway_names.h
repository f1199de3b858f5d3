#pragma once

#include <string_view>

#include "http1/server_connection.h"
#include "serving/serving_config.h"

// What the parts of a gateway share.
namespace pistachiowalk {

// Where nodes enter their addresses in the store.
inline constexpr std::string_view kGatewayNodesPrefix = "pistachiowalk/nodes/";
// Names of the followed states towards peers.
inline constexpr const char* kConfigSnapshotName = "config";
inline constexpr const char* kEndpointsSnapshotName = "endpoints";
inline constexpr const char* kNodesSnapshotName = "nodes";

// The config's limits on callers, as the HTTP service takes them.
ServerLimits ToServerLimits(const CallerLimits& limits);

}  // namespace pistachiowalk
