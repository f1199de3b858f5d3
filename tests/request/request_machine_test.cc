#include "request/request_machine.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

RequestState MakeState(RequestKind kind) {
  RequestState state;
  state.spec.id = RequestId("r1");
  state.spec.kind = kind;
  return state;
}

RequestCommands Apply(RequestState& state, const RequestEvent& event) {
  return ApplyRequestEvent(state, event, TimePoint{});
}

template <class Command>
const Command* FindCommand(const RequestCommands& commands) {
  for (const RequestCommand& command : commands) {
    if (const auto* found = std::get_if<Command>(&command)) {
      return found;
    }
  }
  return nullptr;
}

RequestState RunningState(RequestKind kind) {
  RequestState state = MakeState(kind);
  AcceptRequest(state);
  if (kind == RequestKind::kAction) {
    Apply(state, ClaimDecided{.verdict = ClaimVerdict::kGranted, .reply = {}});
  }
  Apply(state, EndpointOffered{EndpointId("e1")});
  return state;
}

}  // namespace

Test(request_machine, sends_each_token_once_and_in_order) {
  RequestState state = RunningState(RequestKind::kGeneration);
  cr_assert(FindCommand<SendToken>(Apply(state, TokenArrived{1, 0, "a"})));
  cr_assert(not(FindCommand<SendToken>(Apply(state, TokenArrived{1, 0, "a"}))));
  cr_assert(not(FindCommand<SendToken>(Apply(state, TokenArrived{1, 2, "c"}))));
  cr_assert(FindCommand<SendToken>(Apply(state, TokenArrived{1, 1, "b"})));
}

Test(request_machine, resumes_after_the_last_token_on_failure) {
  RequestState state = RunningState(RequestKind::kGeneration);
  Apply(state, TokenArrived{1, 0, "a"});
  const auto retry = Apply(state, AttemptFailed{1});
  cr_assert(FindCommand<FindEndpoint>(retry)->avoid.front() ==
            EndpointId("e1"));
  const auto start = Apply(state, EndpointOffered{EndpointId("e2")});
  cr_assert(FindCommand<StartAttempt>(start)->from_token == 1);
  cr_assert(Apply(state, TokenArrived{1, 1, "late"}).empty());
}

Test(request_machine, retries_when_the_end_arrives_with_tokens_missing) {
  RequestState state = RunningState(RequestKind::kGeneration);
  Apply(state, TokenArrived{1, 0, "a"});
  const auto commands = Apply(state, GenerationEnded{1, 3, "stop"});
  cr_assert(not(FindCommand<SendEnd>(commands)));
  cr_assert(FindCommand<FindEndpoint>(commands));
}

Test(request_machine, never_repeats_an_action_after_dispatch) {
  RequestState state = RunningState(RequestKind::kAction);
  const auto commands = Apply(state, AttemptFailed{1});
  cr_assert(not(FindCommand<FindEndpoint>(commands)));
  cr_assert(FindCommand<SendProblem>(commands)->problem.outcome ==
            RunOutcome::kUnknown);
}

Test(request_machine, retries_an_action_that_was_not_dispatched) {
  RequestState state = RunningState(RequestKind::kAction);
  const auto commands =
      Apply(state, AttemptFailed{1, DispatchCertainty::kNotDispatched, ""});
  cr_assert(FindCommand<FindEndpoint>(commands));
  const auto refused = Apply(state, RouteRefused{Problem{}});
  cr_assert(FindCommand<ReleaseClaim>(refused));
  cr_assert(FindCommand<SendProblem>(refused)->problem.outcome ==
            RunOutcome::kNotRun);
}

Test(request_machine, reports_the_outcome_of_each_claim_verdict) {
  struct Case {
    ClaimVerdict verdict;
    RunOutcome outcome;
  };
  for (const Case& item :
       {Case{ClaimVerdict::kHeldByAnother, RunOutcome::kUnknown},
        Case{ClaimVerdict::kDigestMismatch, RunOutcome::kNotRun},
        Case{ClaimVerdict::kUnavailable, RunOutcome::kNotRun}}) {
    RequestState state = MakeState(RequestKind::kAction);
    AcceptRequest(state);
    const auto commands =
        Apply(state, ClaimDecided{.verdict = item.verdict, .reply = {}});
    cr_assert(FindCommand<SendProblem>(commands)->problem.outcome ==
              item.outcome);
  }
}

Test(request_machine, an_action_continues_after_its_caller_disconnects) {
  RequestState state = RunningState(RequestKind::kAction);
  cr_assert(Apply(state, CallerGone{}).empty());
  const auto commands = Apply(state, ReplyArrived{1, ActionReply{201, "", ""}});
  cr_assert(FindCommand<RecordOutcome>(commands));
}

Test(request_machine, a_deadline_before_dispatch_is_not_run) {
  RequestState state = MakeState(RequestKind::kAction);
  AcceptRequest(state);
  const auto commands = Apply(state, DeadlinePassed{});
  cr_assert(FindCommand<SendProblem>(commands)->problem.outcome ==
            RunOutcome::kNotRun);
  const ClaimDecided granted{.verdict = ClaimVerdict::kGranted, .reply = {}};
  cr_assert(Apply(state, granted).empty());
}

Test(request_machine, an_answer_after_the_deadline_is_recorded) {
  RequestState state = RunningState(RequestKind::kAction);
  const auto deadline_commands = Apply(state, DeadlinePassed{});
  cr_assert(FindCommand<SendProblem>(deadline_commands)->problem.outcome ==
            RunOutcome::kUnknown);
  cr_assert(not(FindCommand<CancelAttempt>(deadline_commands)));
  const auto late = Apply(state, ReplyArrived{1, ActionReply{201, "", ""}});
  cr_assert(FindCommand<RecordOutcome>(late));
  cr_assert(FindCommand<EndRequest>(late));
  cr_assert(not(FindCommand<SendReply>(late)));
}
