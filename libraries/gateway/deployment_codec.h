#pragma once

#include <optional>
#include <string>

#include "following/endpoint_entry.h"
#include "serving/serving_config.h"
#include "store/prefix_store.h"

namespace pistachiowalk {

// Format of a deployment's config and endpoint entries in the store.
class DeploymentCodec {
 public:
  virtual ~DeploymentCodec() = default;

  // The key prefix to follow for the config, and the config's key.
  virtual std::string ConfigPrefix() const = 0;
  virtual std::string ConfigKey() const = 0;
  virtual std::string EndpointsPrefix() const = 0;
  // Parses a config. Returns nullopt and sets `reason` if the text is invalid.
  virtual std::optional<ServingConfig> ReadConfig(
      const std::string& text,
      std::string& reason) const = 0;
  // Parses an endpoint's entry. Returns nullopt and sets `reason` if it does
  // not describe a usable endpoint.
  virtual std::optional<EndpointEntry> ReadEndpoint(
      const StoreItem& item,
      std::string& reason) const = 0;
  virtual EndpointId EndpointOfKey(const std::string& key) const = 0;
  // The path of the load balancer's readiness checks.
  virtual std::string ReadinessPath() const = 0;
};

}  // namespace pistachiowalk
