#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "request/request_command.h"
#include "request/request_event.h"
#include "request/request_spec.h"

// State machine of a request. It has no I/O and no clock: the session that
// drives it passes in events and performs the returned commands in order.
namespace pistachiowalk {

// Maximum number of attempts of a request, including the first.
constexpr AttemptNumber kMaximumAttempts = 4;

enum class RequestPhase {
  kClaiming,
  kRouting,
  kRunning,
  // The caller has received `unknown`. The answer of the action is still
  // awaited, but only to record it.
  kRecording,
  kEnded,
};

// The state of one accepted request.
struct RequestState {
  RequestSpec spec;
  RequestPhase phase = RequestPhase::kRouting;
  // Number of attempts started. While kRunning the last one is the current one.
  AttemptNumber attempts = 0;
  EndpointId current_endpoint;
  // Endpoints of earlier attempts, to be avoided by the next one.
  std::vector<EndpointId> used_endpoints;
  // Whether any ended attempt may have reached its endpoint.
  bool may_have_run = false;
  // Tokens sent to the caller, in order.
  std::vector<std::string> tokens;
};

// Accepts a request and returns the first commands.
RequestCommands AcceptRequest(RequestState& state);

// Applies one event. Events of abandoned attempts are ignored.
RequestCommands ApplyRequestEvent(RequestState& state,
                                  const RequestEvent& event,
                                  TimePoint now);

}  // namespace pistachiowalk
