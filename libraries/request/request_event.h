#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/ids.h"
#include "base/problem.h"
#include "request/action_reply.h"

// Events of a request. The state machine takes them and returns commands.
namespace pistachiowalk {

// Number of an attempt within its request, from 1.
using AttemptNumber = uint32_t;
// Position of a token in the whole answer, from 0.
using TokenIndex = uint64_t;

// Routing found an endpoint for the next attempt.
struct EndpointOffered {
  EndpointId endpoint;
};

// Routing refuses the next attempt.
struct RouteRefused {
  Problem problem;
};

struct TokenArrived {
  AttemptNumber attempt = 0;
  TokenIndex index = 0;
  std::string text;
};

// The endpoint reported that the answer is complete with `token_count` tokens.
struct GenerationEnded {
  AttemptNumber attempt = 0;
  TokenIndex token_count = 0;
  std::string finish_reason;
};

// The complete answer of a plain service.
struct ReplyArrived {
  AttemptNumber attempt = 0;
  ActionReply reply;
};

enum class DispatchCertainty {
  // The attempt certainly did not reach the endpoint.
  kNotDispatched,
  kMaybeDispatched,
};

struct AttemptFailed {
  AttemptNumber attempt = 0;
  DispatchCertainty dispatch = DispatchCertainty::kMaybeDispatched;
  std::string detail;
};

// The endpoint of a running attempt has been instructed to leave the fleet.
struct EndpointLeaving {
  EndpointId endpoint;
};

enum class ClaimVerdict {
  // Only this request may run the action.
  kGranted,
  // The action has already run and `reply` is its recorded answer.
  kFinished,
  // Another request holds the key and has not recorded an outcome.
  kHeldByAnother,
  // The key was used with a different request body.
  kDigestMismatch,
  // A later attempt was answered with `not-run`, which is final.
  kSuperseded,
  // The store cannot be reached, so nothing will be dispatched.
  kUnavailable,
};

struct ClaimDecided {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  ActionReply reply;
};

struct CallerGone {};
// Another node has taken over the generation.
struct HandedOver {};
struct DeadlinePassed {};

using RequestEvent = std::variant<EndpointOffered,
                                  RouteRefused,
                                  TokenArrived,
                                  GenerationEnded,
                                  ReplyArrived,
                                  AttemptFailed,
                                  EndpointLeaving,
                                  ClaimDecided,
                                  CallerGone,
                                  HandedOver,
                                  DeadlinePassed>;

}  // namespace pistachiowalk
