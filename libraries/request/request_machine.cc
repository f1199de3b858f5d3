#include "request/request_machine.h"

#include <utility>

namespace pistachiowalk {
namespace {

// Ends the request with an answer or a problem.
RequestCommands End(RequestState& state, RequestCommand last) {
  RequestCommands commands;
  if (state.phase == RequestPhase::kRunning) {
    commands.push_back(CancelAttempt{.attempt = state.attempts});
  }
  state.phase = RequestPhase::kEnded;
  commands.push_back(std::move(last));
  commands.push_back(EndRequest{});
  return commands;
}

// Whether an action has, or may still get, a claim that it will not use.
bool HasUnusedClaim(const RequestState& state) {
  return state.spec.kind == RequestKind::kAction &&
         (state.phase == RequestPhase::kClaiming ||
          state.phase == RequestPhase::kRouting) &&
         !state.may_have_run;
}

RequestCommands Fail(RequestState& state, Problem problem) {
  RequestCommands commands;
  if (HasUnusedClaim(state)) {
    commands.push_back(ReleaseClaim{});
  }
  RequestCommands last = End(state, SendProblem{.problem = std::move(problem)});
  commands.insert(commands.end(), last.begin(), last.end());
  return commands;
}

RequestCommands Route(RequestState& state) {
  state.phase = RequestPhase::kRouting;
  return {FindEndpoint{.avoid = state.used_endpoints}};
}

// The outcome to report if the request ended now.
RunOutcome OutcomeSoFar(const RequestState& state) {
  // NOTE: Until the key is claimed, an earlier request with the same key may
  // have run.
  if (state.phase == RequestPhase::kClaiming && state.spec.caller_attempt > 1) {
    return RunOutcome::kUnknown;
  }
  const bool may_run =
      state.phase == RequestPhase::kRunning || state.may_have_run;
  return may_run ? RunOutcome::kUnknown : RunOutcome::kNotRun;
}

bool IsCurrent(const RequestState& state, AttemptNumber attempt) {
  return state.phase == RequestPhase::kRunning && attempt == state.attempts;
}

RequestCommands On(RequestState& state, const EndpointOffered& event) {
  if (state.phase != RequestPhase::kRouting) {
    return {};
  }
  state.phase = RequestPhase::kRunning;
  ++state.attempts;
  state.current_endpoint = event.endpoint;
  state.used_endpoints.push_back(event.endpoint);
  return {StartAttempt{.attempt = state.attempts,
                       .endpoint = event.endpoint,
                       .from_token = state.tokens.size()}};
}

RequestCommands On(RequestState& state, const RouteRefused& event) {
  if (state.phase != RequestPhase::kRouting) {
    return {};
  }
  Problem problem = event.problem;
  problem.outcome = OutcomeSoFar(state);
  return Fail(state, std::move(problem));
}

RequestCommands On(RequestState& state, const TokenArrived& event) {
  // A repeated token was sent already, and one after a gap is produced again
  // when the generation resumes.
  if (!IsCurrent(state, event.attempt) || event.index != state.tokens.size()) {
    return {};
  }
  state.tokens.push_back(event.text);
  return {SendToken{.index = event.index, .text = event.text}};
}

RequestCommands RetryOrFail(RequestState& state, const std::string& detail) {
  if (state.attempts >= kMaximumAttempts) {
    // The current attempt has ended, so only may_have_run decides the outcome.
    state.phase = RequestPhase::kRouting;
    return Fail(state, Problem{.kind = ProblemKind::kUpstreamFailed,
                               .outcome = OutcomeSoFar(state),
                               .detail = detail,
                               .retry_after = {}});
  }
  return Route(state);
}

RequestCommands On(RequestState& state, const GenerationEnded& event) {
  if (!IsCurrent(state, event.attempt)) {
    return {};
  }
  if (event.token_count != state.tokens.size()) {
    // NOTE: The stream lost tokens in transit, so the missing ones are
    // requested again.
    state.may_have_run = true;
    RequestCommands commands = {CancelAttempt{.attempt = event.attempt}};
    RequestCommands next = RetryOrFail(state, "the answer had gaps");
    commands.insert(commands.end(), next.begin(), next.end());
    return commands;
  }
  return End(state, SendEnd{.finish_reason = event.finish_reason});
}

RequestCommands On(RequestState& state, const ReplyArrived& event) {
  if (state.phase == RequestPhase::kRecording &&
      event.attempt == state.attempts) {
    state.phase = RequestPhase::kEnded;
    return {RecordOutcome{.reply = event.reply}, EndRequest{}};
  }
  if (!IsCurrent(state, event.attempt)) {
    return {};
  }
  RequestCommands commands;
  if (state.spec.kind == RequestKind::kAction) {
    commands.push_back(RecordOutcome{.reply = event.reply});
  }
  RequestCommands last = End(state, SendReply{.reply = event.reply});
  commands.insert(commands.end(), last.begin(), last.end());
  return commands;
}

RequestCommands On(RequestState& state, const AttemptFailed& event) {
  if (state.phase == RequestPhase::kRecording &&
      event.attempt == state.attempts) {
    state.phase = RequestPhase::kEnded;
    return {EndRequest{}};
  }
  if (!IsCurrent(state, event.attempt)) {
    return {};
  }
  const bool was_dispatched =
      event.dispatch == DispatchCertainty::kMaybeDispatched;
  if (state.spec.kind == RequestKind::kAction && was_dispatched) {
    return Fail(state, Problem{.kind = ProblemKind::kOutcomeUnknown,
                               .outcome = RunOutcome::kUnknown,
                               .detail = event.detail,
                               .retry_after = {}});
  }
  state.may_have_run = state.may_have_run || was_dispatched;
  return RetryOrFail(state, event.detail);
}

RequestCommands On(RequestState& state, const EndpointLeaving& event) {
  const bool is_movable = state.spec.kind == RequestKind::kGeneration &&
                          state.phase == RequestPhase::kRunning &&
                          state.current_endpoint == event.endpoint &&
                          state.attempts < kMaximumAttempts;
  if (!is_movable) {
    return {};
  }
  state.may_have_run = true;
  RequestCommands commands = {CancelAttempt{.attempt = state.attempts}};
  RequestCommands next = Route(state);
  commands.insert(commands.end(), next.begin(), next.end());
  return commands;
}

// Ends an action whose claim was not granted.
RequestCommands EndWithoutClaim(RequestState& state,
                                ProblemKind kind,
                                RunOutcome outcome,
                                std::string detail) {
  return End(state, SendProblem{Problem{.kind = kind,
                                        .outcome = outcome,
                                        .detail = std::move(detail),
                                        .retry_after = {}}});
}

RequestCommands On(RequestState& state, const ClaimDecided& event) {
  if (state.phase != RequestPhase::kClaiming) {
    return {};
  }
  switch (event.verdict) {
    case ClaimVerdict::kGranted:
      return Route(state);
    case ClaimVerdict::kFinished:
      return End(state, SendReply{.reply = event.reply});
    case ClaimVerdict::kHeldByAnother:
      return EndWithoutClaim(
          state, ProblemKind::kOutcomeUnknown, RunOutcome::kUnknown,
          "another request with this key is running or ended "
          "without a recorded answer");
    case ClaimVerdict::kDigestMismatch:
      return EndWithoutClaim(state, ProblemKind::kIdempotencyKeyReused,
                             OutcomeSoFar(state), "");
    case ClaimVerdict::kSuperseded:
      return EndWithoutClaim(
          state, ProblemKind::kIdempotencyKeyReused, OutcomeSoFar(state),
          "a later attempt with this key was told that it did "
          "not run");
    case ClaimVerdict::kUnavailable:
      return EndWithoutClaim(state, ProblemKind::kStoreUnavailable,
                             OutcomeSoFar(state),
                             "the action could not be claimed");
  }
  return {};
}

RequestCommands On(RequestState& state, const CallerGone&) {
  const bool is_action = state.spec.kind == RequestKind::kAction;
  if (state.phase == RequestPhase::kEnded || is_action) {
    // A running action continues, so that its outcome is recorded.
    return {};
  }
  RequestCommands commands;
  if (state.phase == RequestPhase::kRunning) {
    commands.push_back(CancelAttempt{.attempt = state.attempts});
  }
  state.phase = RequestPhase::kEnded;
  commands.push_back(EndRequest{});
  return commands;
}

RequestCommands On(RequestState& state, const HandedOver&) {
  return On(state, CallerGone{});
}

RequestCommands On(RequestState& state, const DeadlinePassed&) {
  if (state.phase == RequestPhase::kEnded ||
      state.phase == RequestPhase::kRecording) {
    return {};
  }
  Problem problem{.kind = ProblemKind::kDeadlineExceeded,
                  .outcome = OutcomeSoFar(state),
                  .detail = "",
                  .retry_after = {}};
  if (state.spec.kind == RequestKind::kAction &&
      state.phase == RequestPhase::kRunning) {
    // The endpoint may still answer, and a retry should get that answer.
    state.phase = RequestPhase::kRecording;
    return {SendProblem{.problem = std::move(problem)}};
  }
  return Fail(state, std::move(problem));
}

}  // namespace

RequestCommands AcceptRequest(RequestState& state) {
  if (state.spec.kind == RequestKind::kAction) {
    state.phase = RequestPhase::kClaiming;
    return {ClaimAction{}};
  }
  return Route(state);
}

RequestCommands ApplyRequestEvent(RequestState& state,
                                  const RequestEvent& event,
                                  TimePoint /*now*/) {
  return std::visit([&state](const auto& e) { return On(state, e); }, event);
}

}  // namespace pistachiowalk
