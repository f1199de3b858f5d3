#include "serving/serving_config.h"

#include <algorithm>

namespace pistachiowalk {

const Route* FindRoute(const ServingConfig& config,
                       std::string_view host,
                       std::string_view path) {
  const Route* best = nullptr;
  for (const Route& route : config.routes) {
    if (route.host == host && path.starts_with(route.path_prefix) &&
        (best == nullptr ||
         route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const ServiceName& ChooseTarget(const Route& route, double draw) {
  uint64_t total = 0;
  for (const RouteTarget& target : route.targets) {
    total += target.weight;
  }
  double rest = draw * static_cast<double>(total);
  for (const RouteTarget& target : route.targets) {
    rest -= target.weight;
    if (rest < 0.0) {
      return target.service;
    }
  }
  return route.targets.back().service;
}

std::chrono::milliseconds ResumableTime(const ServingConfig& config) {
  // The stream itself and two times that it is resumed.
  constexpr int kTimeouts = 3;
  std::chrono::milliseconds longest{0};
  for (const Route& route : config.routes) {
    if (route.is_resumable) {
      longest = std::max(longest, route.timeout);
    }
  }
  return kTimeouts * longest;
}

const CustomerSpec* FindCustomer(const ServingConfig& config,
                                 std::string_view api_key) {
  const auto key = config.api_keys.find(api_key);
  if (key == config.api_keys.end()) {
    return nullptr;
  }
  const auto customer = config.customers.find(key->second);
  return customer == config.customers.end() ? nullptr : &customer->second;
}

}  // namespace pistachiowalk
