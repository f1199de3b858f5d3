#include "rollout/version_rule.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pistachiowalk {
namespace {

// Uniform in [0, 1).
double HashOf(uint64_t salt, uint64_t endpoint_key) {
  const uint64_t hash =
      XXH3_64bits_withSeed(&endpoint_key, sizeof(endpoint_key), salt);
  return std::ldexp(static_cast<double>(hash >> 11), -53);
}

}  // namespace

bool IsChosenEndpoint(uint64_t salt,
                      uint64_t endpoint_key,
                      double endpoint_share) {
  return endpoint_share >= 1.0 || HashOf(salt, endpoint_key) < endpoint_share;
}

double EndpointShareFor(uint64_t salt,
                        const std::vector<uint64_t>& endpoint_keys,
                        size_t count) {
  if (count >= endpoint_keys.size()) {
    return 1.0;
  }
  if (count == 0) {
    return 0.0;
  }
  std::vector<double> hashes;
  hashes.reserve(endpoint_keys.size());
  for (const uint64_t key : endpoint_keys) {
    hashes.push_back(HashOf(salt, key));
  }
  std::sort(hashes.begin(), hashes.end());
  return (hashes[count - 1] + hashes[count]) / 2.0;
}

bool IsAllowed(const VersionRule& rule,
               const SoftwareVersion& version,
               uint64_t endpoint_key,
               bool falls_back) {
  if (std::find(rule.barred.begin(), rule.barred.end(), version) !=
      rule.barred.end()) {
    return false;
  }
  const bool is_target = version == rule.target;
  switch (rule.side) {
    case VersionRule::Side::kAny:
      return true;
    case VersionRule::Side::kOldVersions:
      return !is_target;
    case VersionRule::Side::kTargetFirst:
      return is_target ? IsChosenEndpoint(rule.salt, endpoint_key,
                                          rule.endpoint_share)
                       : falls_back;
    case VersionRule::Side::kTargetOnly:
      return is_target;
  }
  return false;
}

}  // namespace pistachiowalk
