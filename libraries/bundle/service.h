#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "bundle/priority.h"

namespace pistachiowalk {

enum class ServiceKind {
  // A model engine behind POST /v1/chat/completions.
  kModel,
  // A generic HTTP service behind /v1/services/<name>/.
  kPlain,
};

// Configuration of a service.
struct Service {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  // Model, adapter and version that an endpoint must have loaded; used by model
  // services only.
  std::string model;
  std::string adapter;
  std::string version;
  std::vector<PlaceName> places;
  Priority priority = Priority::kStandard;
  // Protected services must still meet their targets when a place is lost.
  bool is_protected = false;
  // Methods that are safe to retry. Any other method is an action, which runs
  // at most once.
  std::vector<std::string> idempotent_methods;
  std::chrono::milliseconds first_token_target{1900};
  std::chrono::milliseconds token_gap_target{54};
  std::chrono::milliseconds deadline{60000};
  // Weights of cost and of recomputed tokens in routing and planning;
  // non-negative.
  double cost_weight = 1.0;
  double recompute_weight = 1.0;
  // Whether the service's endpoints reject requests with an outdated fencing
  // token.
  bool checks_fencing = false;

  friend auto operator<=>(const Service&, const Service&) = default;
};

// Whether `method` is safe to retry for this service.
bool IsIdempotentMethod(const Service& service, std::string_view method);

}  // namespace pistachiowalk
