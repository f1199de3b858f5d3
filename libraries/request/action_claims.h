#pragma once

#include <functional>

#include "request/request_event.h"
#include "request/request_spec.h"

namespace pistachiowalk {

// Decides which request may run an action, across all entry nodes.
class ActionClaims {
 public:
  using Callback = std::function<void(const ClaimDecided& decided)>;

  virtual ~ActionClaims() = default;

  // Claims the idempotency key of `spec`. A key is granted to one request only.
  virtual void Claim(const RequestSpec& spec, Callback callback) = 0;
  // Records the answer of a granted action, to be returned to later retries.
  virtual void RecordOutcome(const RequestSpec& spec,
                             const ActionReply& reply) = 0;
  // Releases a granted claim whose action was certainly never dispatched.
  virtual void Release(const RequestSpec& spec) = 0;
};

}  // namespace pistachiowalk
