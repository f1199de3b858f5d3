#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace pistachiowalk {

enum class RequestKind {
  // A generation by a model engine, streamed by token and resumable.
  kGeneration,
  // A call of a plain service that may be repeated.
  kIdempotentCall,
  // A call of a plain service that must run at most once.
  kAction,
};

// How many times the caller has sent an action's key, including this time.
using CallerAttempt = uint32_t;

// A request as accepted from a caller.
struct RequestSpec {
  RequestId id;
  CustomerName customer;
  ServiceName service;
  RequestKind kind = RequestKind::kGeneration;
  // The caller's key for an action; empty for other kinds.
  std::string idempotency_key;
  // BLAKE2b-256 of method, path and body, in hexadecimal; actions only.
  std::string body_digest;
  // When above 1, an earlier request with the key may have run.
  CallerAttempt caller_attempt = 1;
  TimePoint deadline{};

  friend auto operator<=>(const RequestSpec&, const RequestSpec&) = default;
};

}  // namespace pistachiowalk
