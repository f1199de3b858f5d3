#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// To which workers of a service a request may go during a roll-out.
struct VersionRule {
  enum class Side : uint8_t {
    // No roll-out restricts the service.
    kAny,
    // Workers of every version but the target.
    kOldVersions,
    // Workers of the target; of the old versions if none of them can take it.
    kTargetFirst,
    // Workers of the target only.
    kTargetOnly,
  };
  Side side = Side::kAny;
  SoftwareVersion target;
  // Share of the target's workers that get requests, 0 to 1.
  double endpoint_share = 1.0;
  // The same for all nodes during one roll-out, so that they choose the same
  // workers.
  uint64_t salt = 0;
  // Targets of earlier orders that were not shown to be good. Workers of these
  // get nothing on any side.
  std::vector<SoftwareVersion> barred;

  friend auto operator<=>(const VersionRule&, const VersionRule&) = default;
};

// Whether the rule allows a worker. `falls_back` is set once no worker of the
// target can take a request of kTargetFirst.
bool IsAllowed(const VersionRule& rule,
               const SoftwareVersion& version,
               uint64_t endpoint_key,
               bool falls_back);

// Whether an endpoint is among those of the target that get requests.
bool IsChosenEndpoint(uint64_t salt,
                      uint64_t endpoint_key,
                      double endpoint_share);
// The least endpoint share that chooses `count` of the endpoints.
double EndpointShareFor(uint64_t salt,
                        const std::vector<uint64_t>& endpoint_keys,
                        size_t count);

}  // namespace pistachiowalk
