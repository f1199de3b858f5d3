#pragma once

#include <string>

#include "base/ids.h"
#include "request/action_reply.h"
#include "request/request_spec.h"

namespace pistachiowalk {

enum class ClaimEntryKind {
  // `request` claims the key, and gets it unless another request holds it.
  kClaim,
  // The action of `request` ran and returned `reply`.
  kOutcome,
  // `request` was certainly not dispatched and never will be.
  kRelease,
};

// One entry of a claim log, identified by its kind and request.
struct ClaimEntry {
  ClaimEntryKind kind = ClaimEntryKind::kClaim;
  // Customer, service and idempotency key, joined by '/'.
  std::string key;
  RequestId request;
  std::string digest;
  CallerAttempt attempt = 1;
  // Only for kOutcome.
  ActionReply reply;

  friend auto operator<=>(const ClaimEntry&, const ClaimEntry&) = default;
};

}  // namespace pistachiowalk
