#pragma once

#include <optional>
#include <string>

#include "following/endpoint_entry.h"
#include "rollout/rollout_order.h"
#include "rollout/rollout_state.h"
#include "serving/serving_config.h"
#include "store/prefix_store.h"

namespace pistachiowalk {

// Format of a deployment's config, endpoint entries and roll-outs in the store.
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
  // Whether the key, one below ConfigPrefix(), is that of a roll-out's order.
  virtual bool IsRolloutOrderKey(const std::string& key) const = 0;
  // Parses an order; its position has only the revision. Returns nullopt and
  // sets `reason` if it is invalid.
  virtual std::optional<RolloutOrder> ReadRolloutOrder(
      const StoreItem& item,
      std::string& reason) const = 0;
  // Where the operator expects how far a service's roll-out is, and the text.
  virtual std::string RolloutStatusKey(const ServiceName& service) const = 0;
  virtual std::string WriteRolloutStatus(const RolloutState& state) const = 0;
  // The path of the load balancer's readiness checks.
  virtual std::string ReadinessPath() const = 0;
};

}  // namespace pistachiowalk
