#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "base/run_outcome.h"

namespace pistachiowalk {

// The kinds of errors reported to clients; each has a stable type name.
enum class ProblemKind {
  kMalformedRequest,
  kUnauthenticated,
  kUnknownService,
  kUnknownRequest,
  kMethodNotAllowed,
  kBodyTooLarge,
  kIdempotencyKeyMissing,
  kIdempotencyKeyReused,
  kLimitExceeded,
  kOverloaded,
  kNoEndpoint,
  kNotReady,
  kStoreUnavailable,
  kUpstreamFailed,
  kDeadlineExceeded,
  kOutcomeUnknown,
  kStopping,
};

// An error response (RFC 9457) that also tells whether the request was run.
struct Problem {
  ProblemKind kind = ProblemKind::kMalformedRequest;
  RunOutcome outcome = RunOutcome::kNotRun;
  std::string detail;
  std::optional<std::chrono::seconds> retry_after;

  friend bool operator==(const Problem&, const Problem&) = default;
};

// HTTP status code of responses with a problem of this kind.
int ProblemStatus(ProblemKind kind);
// Last segment of the stable type URI, for example "no-endpoint".
std::string_view ProblemTypeName(ProblemKind kind);
// The application/problem+json document; `instance` is the request id or "".
std::string ProblemDocument(const Problem& problem, std::string_view instance);

}  // namespace pistachiowalk
