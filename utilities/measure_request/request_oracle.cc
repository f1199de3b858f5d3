#include "utilities/measure_request/request_oracle.h"

#include <algorithm>

namespace pistachiowalk::measure {

std::string RequestOracle::TokenText(const RequestId& request,
                                     TokenIndex index) {
  return request.value() + "#" + std::to_string(index) + " ";
}

void RequestOracle::RecordAccepted(const RequestSpec& spec,
                                   TokenIndex token_count) {
  RequestHistory& history = m_requests[spec.id];
  history.spec = spec;
  history.token_count = token_count;
}

void RequestOracle::RecordRun(const RequestSpec& spec) {
  m_runs.push_back(spec);
}

void RequestOracle::RecordBroken(const RequestId& request) {
  m_requests.at(request).is_broken = true;
}

void RequestOracle::RecordReported(const RequestSpec& spec,
                                   const RequestCommand& command) {
  RequestHistory& history = m_requests.at(spec.id);
  if (const auto* token = std::get_if<SendToken>(&command)) {
    history.tokens.push_back(token->text);
  } else if (const auto* problem = std::get_if<SendProblem>(&command)) {
    ++history.final_answers;
    history.is_not_run = problem->problem.outcome == RunOutcome::kNotRun;
    history.is_unknown = problem->problem.outcome == RunOutcome::kUnknown;
  } else if (std::holds_alternative<SendEnd>(command) ||
             std::holds_alternative<SendReply>(command)) {
    ++history.final_answers;
    history.is_complete = true;
  }
}

bool RequestOracle::IsStreamCorrect(const RequestHistory& history) const {
  for (size_t i = 0; i < history.tokens.size(); ++i) {
    if (history.tokens[i] != TokenText(history.spec.id, i)) {
      return false;
    }
  }
  return !history.is_complete || history.tokens.size() == history.token_count;
}

bool RequestOracle::IsNotRunFalse(const RequestHistory& history) const {
  return history.is_not_run &&
         std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& run) {
           const bool is_same_action =
               run.idempotency_key == history.spec.idempotency_key &&
               run.body_digest == history.spec.body_digest;
           return run.id == history.spec.id ||
                  (is_same_action &&
                   run.caller_attempt < history.spec.caller_attempt);
         });
}

void RequestOracle::Evaluate(SimulationFindings& findings) const {
  std::map<std::string, uint64_t> runs;
  for (const RequestSpec& run : m_runs) {
    ++findings.actions_run;
    if (++runs[run.idempotency_key] > 1) {
      ++findings.double_runs;
    }
  }
  for (const auto& [id, history] : m_requests) {
    const bool is_answered_once =
        history.final_answers == 1 ||
        (history.is_broken && history.final_answers == 0);
    if (!is_answered_once) {
      ++findings.accepted_lost;
    }
    if (history.spec.kind == RequestKind::kGeneration) {
      findings.stream_errors += IsStreamCorrect(history) ? 0 : 1;
      continue;
    }
    findings.false_not_run += IsNotRunFalse(history) ? 1 : 0;
    findings.actions_reported += history.final_answers;
    findings.unknown_reported += history.is_unknown ? 1 : 0;
  }
}

}  // namespace pistachiowalk::measure
