// The simulated endpoints of RequestSimulation and their faults.
#include <utility>

#include "utilities/measure_request/request_simulation.h"

namespace pistachiowalk::measure {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSlowestHop = milliseconds(40);
constexpr Duration kMaximumLateEffect = seconds(4);
constexpr Duration kTokenTime = milliseconds(20);

enum class ActionFault {
  kNotReached,
  kRunWithLostAnswer,
  kLostBeforeRun,
  kRunAfterFailure,
  kRunWithoutAnswer,
  kAnswerTwice,
  kLateAnswer,
};
constexpr size_t kActionFaults = 7;

enum class StreamFault {
  kNotReached,
  kRepeatedTokens,
  kLostToken,
  kReorderedTokens,
  kEndpointDied,
  kSilence,
  kStartsEarly,
  kLateStaleToken,
};
constexpr size_t kStreamFaults = 8;

}  // namespace

void RequestSimulation::FailAttempt(size_t node,
                                    const RequestId& id,
                                    AttemptNumber attempt,
                                    DispatchCertainty dispatch,
                                    Duration delay) {
  At(node, delay, [this, node, id, attempt, dispatch] {
    Apply(
        node, id,
        AttemptFailed{.attempt = attempt, .dispatch = dispatch, .detail = ""});
  });
}

void RequestSimulation::RunAction(size_t node,
                                  const RequestSpec& spec,
                                  AttemptNumber attempt) {
  const ReplyArrived reply{
      .attempt = attempt,
      .reply = {.status = 201, .content_type = "", .body = spec.id.value()}};
  const auto run = [this, spec] { m_oracle.RecordRun(spec); };
  const auto answer = [this, node, spec, reply] {
    Apply(node, spec.id, reply);
  };
  const Duration send_delay = DrawDelay(kSlowestHop);
  const Duration round_trip = send_delay + DrawDelay(kSlowestHop);
  if (!DrawChance(m_endpoint_fault_share)) {
    Schedule(send_delay, run);
    At(node, round_trip, answer);
    return;
  }
  switch (static_cast<ActionFault>(DrawIndex(kActionFaults))) {
    case ActionFault::kNotReached:
      FailAttempt(node, spec.id, attempt, DispatchCertainty::kNotDispatched,
                  round_trip);
      return;
    case ActionFault::kRunWithLostAnswer:
      Schedule(send_delay, run);
      FailAttempt(node, spec.id, attempt, DispatchCertainty::kMaybeDispatched,
                  round_trip);
      return;
    case ActionFault::kLostBeforeRun:
      FailAttempt(node, spec.id, attempt, DispatchCertainty::kMaybeDispatched,
                  round_trip);
      return;
    case ActionFault::kRunAfterFailure:
      FailAttempt(node, spec.id, attempt, DispatchCertainty::kMaybeDispatched,
                  send_delay);
      Schedule(send_delay + DrawDelay(kMaximumLateEffect), run);
      return;
    case ActionFault::kRunWithoutAnswer:
      Schedule(send_delay, run);
      return;
    case ActionFault::kAnswerTwice:
      Schedule(send_delay, run);
      At(node, round_trip, answer);
      At(node, round_trip + DrawDelay(kMaximumLateEffect), answer);
      return;
    case ActionFault::kLateAnswer:
      Schedule(send_delay, run);
      At(node, round_trip + DrawDelay(kMaximumLateEffect), answer);
      return;
  }
}

void RequestSimulation::Generate(size_t node,
                                 const RequestSpec& spec,
                                 const pistachiowalk::StartAttempt& command) {
  const TokenIndex count = m_tasks[m_task_by_request.at(spec.id)].token_count;
  std::optional<StreamFault> fault;
  if (DrawChance(m_endpoint_fault_share)) {
    fault = static_cast<StreamFault>(DrawIndex(kStreamFaults));
  }
  if (fault == StreamFault::kNotReached) {
    FailAttempt(node, spec.id, command.attempt,
                DispatchCertainty::kNotDispatched, DrawDelay(kSlowestHop));
    return;
  }
  const auto send = [&](TokenIndex index, Duration delay, std::string text) {
    TokenArrived token{
        .attempt = command.attempt, .index = index, .text = std::move(text)};
    At(node, delay, [this, node, id = spec.id, token = std::move(token)] {
      Apply(node, id, token);
    });
  };
  const TokenIndex first =
      fault == StreamFault::kStartsEarly ? 0 : command.from_token;
  const TokenIndex fault_index = DrawIndex(count);
  Duration delay = DrawDelay(kSlowestHop);
  for (TokenIndex index = first; index < count; ++index) {
    delay += kTokenTime;
    const std::string text = RequestOracle::TokenText(spec.id, index);
    if (fault == StreamFault::kLostToken && index == fault_index) {
      continue;
    }
    if (fault == StreamFault::kRepeatedTokens && index == fault_index) {
      send(index, delay + kTokenTime, text);
    }
    if (fault == StreamFault::kEndpointDied && index >= fault_index) {
      FailAttempt(node, spec.id, command.attempt,
                  DispatchCertainty::kMaybeDispatched, delay);
      return;
    }
    if (fault == StreamFault::kSilence && index >= fault_index) {
      return;
    }
    if (fault == StreamFault::kLateStaleToken && index >= fault_index) {
      // The restarted endpoint continues with another answer after the attempt
      // has been abandoned.
      FailAttempt(node, spec.id, command.attempt,
                  DispatchCertainty::kMaybeDispatched, delay);
      send(index, delay + DrawDelay(kTokenTime * 5) + milliseconds(1),
           "stale ");
      return;
    }
    const bool is_early = fault == StreamFault::kReorderedTokens &&
                          index == fault_index && index > first;
    send(index, is_early ? delay - kTokenTime - milliseconds(1) : delay, text);
  }
  const GenerationEnded ended{.attempt = command.attempt,
                              .token_count = count,
                              .finish_reason = "stop"};
  At(node, delay + milliseconds(1),
     [this, node, id = spec.id, ended] { Apply(node, id, ended); });
}

}  // namespace pistachiowalk::measure
