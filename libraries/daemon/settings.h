#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/ids.h"
#include "bundle/signed_bundle.h"
#include "membership/node_address.h"
#include "net/node_frame.h"

namespace pistachiowalk {

// All errors found in the settings, one message each.
struct SettingsError {
  std::vector<std::string> messages;
};

// Settings of pistachiowalkd; see docs/operators/settings.md.
struct Settings {
  NodeId node;
  PlaceName place;
  DataCenterName data_center;
  std::string listen_address = "127.0.0.1";
  uint16_t listen_port = 8080;
  std::string store_url;
  std::string vm_list_url;
  std::chrono::milliseconds vm_list_interval{1000};
  SignaturePolicy signatures;
  std::string cluster_address = "127.0.0.1";
  uint16_t cluster_port = 0;
  // Messages are authenticated with the first key and accepted with any of
  // them. Without keys the node does not communicate with other nodes.
  std::vector<ClusterKey> cluster_keys;
  std::vector<NodeAddress> cluster_seeds;
  size_t maximum_body_bytes = 1024 * 1024;
  size_t maximum_held_body_bytes = 64 * 1024 * 1024;
  size_t maximum_header_bytes = 16 * 1024;
  uint32_t maximum_connections = 8192;
  std::chrono::seconds request_timeout{10};
  std::chrono::seconds idle_timeout{75};
  std::chrono::seconds drain_timeout{30};
  // Streams that are still open this long after a stop signal are handed over
  // to peers.
  std::chrono::milliseconds handover_delay{1000};
  LogLevel log_level = LogLevel::kInfo;
};

// One `section.name=value` from the command line; it overrides the file.
struct SettingOverride {
  std::string path;
  std::string value;
};

// Parses the INI text, applies the overrides and validates every key.
// Errors: SettingsError with every error found.
boost::leaf::result<Settings> ReadSettings(
    std::string_view ini_text,
    const std::vector<SettingOverride>& overrides);

// Parses "section.name=value". Errors: SettingsError.
boost::leaf::result<SettingOverride> ParseSettingOverride(
    std::string_view text);

// Returns the effective settings as INI text.
std::string PrintSettings(const Settings& settings);

}  // namespace pistachiowalk
