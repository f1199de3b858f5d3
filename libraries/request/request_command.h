#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/problem.h"
#include "request/action_reply.h"
#include "request/request_event.h"

// Commands to the session that drives the state machine of a request.
namespace pistachiowalk {

// Ask routing for an endpoint. Answered by EndpointOffered or RouteRefused.
struct FindEndpoint {
  std::vector<EndpointId> avoid;
};

struct StartAttempt {
  AttemptNumber attempt = 0;
  EndpointId endpoint;
  // Index of the first token that the attempt must produce.
  TokenIndex from_token = 0;
};

struct CancelAttempt {
  AttemptNumber attempt = 0;
};

struct SendToken {
  TokenIndex index = 0;
  std::string text;
};

// The answer of the generation is complete.
struct SendEnd {
  std::string finish_reason;
};

struct SendReply {
  ActionReply reply;
};

// Report a problem to the caller, as an error event if the stream has started.
struct SendProblem {
  Problem problem;
};

// Claim the action's key. Answered by ClaimDecided.
struct ClaimAction {};

// Record the outcome of a claimed action.
struct RecordOutcome {
  ActionReply reply;
};

// Release a claim whose action was certainly not dispatched.
struct ReleaseClaim {};

// Discard the request; nothing more will be sent.
struct EndRequest {};

using RequestCommand = std::variant<FindEndpoint,
                                    StartAttempt,
                                    CancelAttempt,
                                    SendToken,
                                    SendEnd,
                                    SendReply,
                                    SendProblem,
                                    ClaimAction,
                                    RecordOutcome,
                                    ReleaseClaim,
                                    EndRequest>;
using RequestCommands = std::vector<RequestCommand>;

}  // namespace pistachiowalk
