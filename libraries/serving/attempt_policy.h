#pragma once

#include <cstdint>

#include "serving/serving_config.h"

namespace pistachiowalk {

// How one attempt at an endpoint ended, as far as this node can tell.
enum class AttemptOutcome : uint8_t {
  // A complete and successful response.
  kAnswered,
  // The endpoint reported that it did not execute the request.
  kRejected,
  // Nothing was sent.
  kNotSent,
  // A complete response with an error status.
  kFailed,
  // Sent, but the response is missing, incomplete or not verifiable, so the
  // request may have been executed.
  kUnknown,
};

// State of a request when one of its attempts ends without success.
struct RetryContext {
  RouteKind kind = RouteKind::kNonIdempotent;
  bool is_resumable = false;
  uint32_t maximum_attempts = 1;
  // Attempts that were or may have been executed, including this one.
  uint32_t executions = 0;
  // All attempts sent, including rejected ones.
  uint32_t sends = 0;
  // Part of a response was already sent to the caller.
  bool has_started_response = false;
  bool has_budget = false;
  // The deadline leaves another endpoint enough time to respond.
  bool has_time = false;
};

enum class NextStep : uint8_t {
  kRetry,
  // Tell the caller that the request was not executed.
  kReportNotExecuted,
  // Forward the endpoint's error response.
  kForwardFailure,
  // Tell the caller that the outcome is unknown.
  kReportUnknownOutcome,
  // The response was started and cannot be completed: close the connection so
  // that the caller sees it as incomplete.
  kAbortResponse,
};

// Decides what follows an unsuccessful attempt. A request is sent again only if
// it was certainly not executed or its route allows a repeated execution.
NextStep DecideNextStep(AttemptOutcome outcome, const RetryContext& now);

}  // namespace pistachiowalk
