#include <chrono>

#include "daemon/daemon_log_events.h"
#include "daemon/problem_response.h"
#include "daemon/request_session.h"

// The part of RequestSession that handles reconnects and handovers.
namespace pistachiowalk {
namespace {

// How long a stream continues without a caller, which may reconnect.
constexpr Duration kReconnectTimeout = std::chrono::seconds(3);
// The same after a handover, where the caller's connection is aborted; it is
// longer because some callers detect that late. A finished response is kept for
// the same time.
constexpr Duration kHandedOverReconnectTimeout = std::chrono::seconds(30);

}  // namespace

void RequestSession::StartHandedOver(std::vector<std::string> tokens) {
  m_state.tokens = std::move(tokens);
  m_state.may_have_run = true;
  LogEvent(daemon_log::kStreamTakenOver,
           {{"request", m_state.spec.id.value()},
            {"from_token", std::to_string(m_state.tokens.size())}});
  ScheduleDeadline();
  const RequestSessionPtr self(this);
  m_reconnect_timer = m_context.loop.Schedule(
      kHandedOverReconnectTimeout, [self] { self->Apply(CallerGone{}); });
  Perform(AcceptRequest(m_state));
}

void RequestSession::OnCallerClosed() {
  const bool may_come_back = IsStreaming() && m_is_stream_started &&
                             m_state.phase != RequestPhase::kEnded;
  if (!may_come_back) {
    Apply(CallerGone{});
    return;
  }
  m_exchange = nullptr;
  const RequestSessionPtr self(this);
  m_reconnect_timer = m_context.loop.Schedule(
      kReconnectTimeout, [self] { self->Apply(CallerGone{}); });
  if (m_is_paused && m_attempt) {
    m_is_paused = false;
    m_attempt->ResumeReading();
  }
}

void RequestSession::RetainForReconnect() {
  const RequestSessionPtr self(this);
  m_context.loop.Cancel(m_reconnect_timer);
  m_reconnect_timer = m_context.loop.Schedule(
      kHandedOverReconnectTimeout, [self] { self->m_on_end(*self); });
}

void RequestSession::Attach(HttpExchangePtr exchange, uint64_t from) {
  const RequestSessionPtr self(this);
  if (m_exchange) {
    // NOTE: The caller would not have reconnected if the old connection worked,
    // so it is aborted.
    m_exchange->OnClosed(nullptr);
    m_exchange->OnDrained(nullptr);
    m_exchange->Abort();
  }
  m_context.loop.Cancel(m_reconnect_timer);
  m_exchange = std::move(exchange);
  LogEvent(daemon_log::kCallerReturned, {{"request", m_state.spec.id.value()},
                                         {"from_token", std::to_string(from)}});
  m_is_stream_started = false;
  if (m_problem && m_state.tokens.size() <= from) {
    m_exchange->Respond(ProblemResponse(*m_problem, m_state.spec.id.value()));
    m_on_end(*this);
    return;
  }
  WatchCaller();
  StartStreamIfNeeded();
  // NOTE: After a handover the caller may already have tokens that this node
  // has yet to generate. They are not sent again.
  m_first_unsent = from;
  SendRemainingTokens(from);
}

void RequestSession::SendRemainingTokens(uint64_t from) {
  for (uint64_t index = from; index < m_state.tokens.size(); ++index) {
    m_exchange->Write(TokenEvent(m_state.spec.id, m_state.spec.service, index,
                                 m_state.tokens[index]));
  }
  if (!m_finish_reason && !m_problem) {
    return;
  }
  m_exchange->OnClosed(nullptr);
  m_exchange->OnDrained(nullptr);
  if (m_finish_reason) {
    Perform(SendEnd{.finish_reason = *m_finish_reason});
  } else {
    Perform(SendProblem{.problem = *m_problem});
  }
  m_context.loop.Cancel(m_keep_alive_timer);
  m_on_end(*this);
}

bool RequestSession::CanBeHandedOver() const {
  const bool is_running = m_state.phase == RequestPhase::kRunning;
  return IsStreaming() && !m_is_handing_over &&
         (is_running || m_finish_reason.has_value());
}

StreamHandover RequestSession::PrepareHandover() {
  m_is_handing_over = true;
  DropAttempt();
  if (m_exchange) {
    // The response headers carry the request id, which the caller needs to
    // resume.
    StartStreamIfNeeded();
  }
  const Duration remaining = m_state.spec.deadline - m_context.clock.Now();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
  return StreamHandover{.request = m_state.spec.id,
                        .customer = m_state.spec.customer,
                        .service = m_state.spec.service,
                        .remaining_milliseconds = static_cast<uint64_t>(
                            std::max<int64_t>(milliseconds, 0)),
                        .body = m_payload.chat->body,
                        .tokens = m_state.tokens};
}

void RequestSession::FinishHandover(bool is_delivered) {
  const RequestSessionPtr self(this);
  m_is_handing_over = false;
  if (!is_delivered) {
    // NOTE: The peer may have received the handover nevertheless. It then
    // generates without a caller until its reconnect timeout expires.
    Apply(EndpointLeaving{.endpoint = m_state.current_endpoint});
    return;
  }
  m_result = "handed-over";
  LogEvent(daemon_log::kStreamHandedOver,
           {{"request", m_state.spec.id.value()},
            {"from_token", std::to_string(m_state.tokens.size())}});
  m_context.loop.Cancel(m_reconnect_timer);
  if (m_exchange) {
    m_exchange->OnClosed(nullptr);
    m_exchange->Abort();
  }
  if (m_state.phase == RequestPhase::kEnded) {
    m_on_end(*this);
    return;
  }
  Apply(HandedOver{});
}

}  // namespace pistachiowalk
