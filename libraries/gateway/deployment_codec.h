#pragma once

#include <optional>
#include <string>

#include "following/endpoint_entry.h"
#include "serving/serving_config.h"
#include "store/prefix_store.h"

namespace pistachiowalk {

// How a deployment writes its config and its endpoints into the store.
class DeploymentCodec {
 public:
  virtual ~DeploymentCodec() = default;

  // The prefix below which the config stands, and its key.
  virtual std::string ConfigPrefix() const = 0;
  virtual std::string ConfigKey() const = 0;
  virtual std::string EndpointsPrefix() const = 0;
  // nullopt and a reason for what is no config.
  virtual std::optional<ServingConfig> ReadConfig(
      const std::string& text,
      std::string& reason) const = 0;
  // nullopt and a reason for an entry that names no endpoint to use.
  virtual std::optional<EndpointEntry> ReadEndpoint(
      const StoreItem& item,
      std::string& reason) const = 0;
  virtual EndpointId EndpointOfKey(const std::string& key) const = 0;
  // The path at which the balancer asks for readiness.
  virtual std::string ReadinessPath() const = 0;
};

}  // namespace pistachiowalk
