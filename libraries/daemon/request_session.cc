#include "daemon/request_session.h"

#include <fmt/format.h>

#include <chrono>

#include "daemon/active_bundle.h"
#include "daemon/daemon_log_events.h"
#include "daemon/endpoint_directory.h"
#include "daemon/metrics.h"
#include "daemon/problem_response.h"
#include "daemon/routing_service.h"
#include "request/action_claims.h"

namespace pistachiowalk {
namespace {

constexpr Duration kKeepAliveInterval = std::chrono::seconds(5);
// Reading from the endpoint is paused while more bytes than this are buffered
// for the caller.
constexpr size_t kBackPressureBytes = 256 * 1024;
constexpr std::chrono::seconds kRetryAfter{1};

HttpHeaders ResponseHeaders(const RequestId& id, std::string content_type) {
  return {{"X-Request-Id", id.value()},
          {"Content-Type", std::move(content_type)}};
}

}  // namespace

RequestSession::RequestSession(DaemonContext& context,
                               HttpExchangePtr exchange,
                               std::shared_ptr<const Bundle> bundle,
                               RequestSpec spec,
                               RequestPayload payload,
                               EndCallback on_end)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_bundle(std::move(bundle)),
      m_payload(std::move(payload)),
      m_on_end(std::move(on_end)) {
  m_state.spec = std::move(spec);
}

RequestSession::~RequestSession() {
  DropAttempt();
  m_context.loop.Cancel(m_deadline_timer);
  m_context.loop.Cancel(m_keep_alive_timer);
  m_context.loop.Cancel(m_reconnect_timer);
}

void RequestSession::Start() {
  m_context.metrics.CountAccepted(m_state.spec.service.value());
  LogEvent(daemon_log::kRequestAccepted,
           {{"request", m_state.spec.id.value()},
            {"customer", m_state.spec.customer.value()},
            {"service", m_state.spec.service.value()}});
  WatchCaller();
  ScheduleDeadline();
  Perform(AcceptRequest(m_state));
}

void RequestSession::ScheduleDeadline() {
  const RequestSessionPtr self(this);
  m_deadline_timer =
      m_context.loop.Schedule(m_state.spec.deadline - m_context.clock.Now(),
                              [self] { self->Apply(DeadlinePassed{}); });
}

void RequestSession::WatchCaller() {
  const RequestSessionPtr self(this);
  m_exchange->OnClosed([self](bool) { self->OnCallerClosed(); });
  m_exchange->OnDrained([this] {
    if (m_is_paused && m_attempt) {
      m_is_paused = false;
      m_attempt->ResumeReading();
    }
  });
}

void RequestSession::HandleEndpointLeaving(const EndpointId& endpoint) {
  Apply(EndpointLeaving{.endpoint = endpoint});
}

void RequestSession::Abort() {
  if (m_exchange) {
    m_exchange->Abort();
  }
}

void RequestSession::Apply(const RequestEvent& event) {
  const RequestSessionPtr self(this);
  if (const auto* failed = std::get_if<AttemptFailed>(&event)) {
    LogEvent(daemon_log::kAttemptFailed,
             {{"request", m_state.spec.id.value()},
              {"endpoint", m_attempt_endpoint.value()},
              {"detail", failed->detail}});
    m_context.routing.RecordFailure(m_attempt_endpoint, failed->dispatch);
    DropAttempt();
  }
  Perform(ApplyRequestEvent(m_state, event, m_context.clock.Now()));
}

void RequestSession::Perform(const RequestCommands& commands) {
  for (const RequestCommand& command : commands) {
    std::visit([this](const auto& c) { Perform(c); }, command);
  }
}

void RequestSession::Perform(const FindEndpoint& command) {
  const std::optional<EndpointId> endpoint = m_context.routing.Choose(
      m_state.spec, *m_bundle, m_payload.chat ? m_payload.chat->body : "",
      command.avoid);
  if (endpoint) {
    Apply(EndpointOffered{.endpoint = *endpoint});
    return;
  }
  Apply(RouteRefused{Problem{.kind = ProblemKind::kNoEndpoint,
                             .outcome = RunOutcome::kNotRun,
                             .detail = "",
                             .retry_after = kRetryAfter}});
}

HttpCallOptions RequestSession::AttemptOptions(
    const StartAttempt& command) const {
  const Endpoint& endpoint =
      m_context.endpoints.table().Find(command.endpoint)->endpoint;
  const std::string base =
      fmt::format("http://{}:{}", endpoint.address, endpoint.port);
  HttpCallOptions options;
  options.headers = {{"X-Request-Id", m_state.spec.id.value()},
                     {"X-Attempt", std::to_string(command.attempt)},
                     {"X-Customer", m_state.spec.customer.value()}};
  if (m_payload.chat) {
    options.method = "POST";
    options.url = base + "/v1/chat/completions";
    options.headers.push_back({"Content-Type", "application/json"});
    options.body =
        EngineRequestBody(*m_payload.chat, command.from_token, JoinedTokens());
    return options;
  }
  options.method = m_payload.plain->method;
  options.url = base + m_payload.plain->path;
  options.body = m_payload.plain->body;
  if (!m_payload.plain->content_type.empty()) {
    options.headers.push_back({"Content-Type", m_payload.plain->content_type});
  }
  if (m_state.spec.kind == RequestKind::kAction) {
    options.headers.push_back(
        {"Idempotency-Key", m_state.spec.idempotency_key});
    options.reuse = ConnectionReuse::kForbidden;
  }
  return options;
}

void RequestSession::Perform(const StartAttempt& command) {
  m_attempt_endpoint = command.endpoint;
  m_is_paused = false;
  m_context.routing.RecordSend(command.endpoint,
                               m_payload.chat ? m_payload.chat->body : "");
  m_context.metrics.CountAttempt();
  LogEvent(command.from_token > 0 ? daemon_log::kRequestResumed
                                  : daemon_log::kAttemptStarted,
           {{"request", m_state.spec.id.value()},
            {"endpoint", command.endpoint.value()},
            {"attempt", std::to_string(command.attempt)},
            {"from_token", std::to_string(command.from_token)}});
  const auto kind = m_payload.chat
                        ? UpstreamAttempt::ResponseKind::kTokenStream
                        : UpstreamAttempt::ResponseKind::kBufferedReply;
  const RequestSessionPtr self(this);
  m_attempt = new UpstreamAttempt(
      command.attempt, kind, command.from_token,
      [self](const RequestEvent& event) { self->Apply(event); });
  m_attempt->OnLoad([self](uint32_t running, uint32_t waiting) {
    self->m_context.routing.RecordLoad(self->m_attempt_endpoint, running,
                                       waiting);
  });
  m_attempt->Start(m_context.client, AttemptOptions(command));
}

void RequestSession::DropAttempt() {
  if (!m_attempt) {
    return;
  }
  m_attempt->Cancel();
  m_attempt = nullptr;
  m_context.endpoints.table().RemoveInFlight(m_attempt_endpoint);
}

void RequestSession::Perform(const CancelAttempt& /*command*/) {
  DropAttempt();
}

bool RequestSession::IsStreaming() const {
  return m_payload.chat && m_payload.chat->is_streaming;
}

void RequestSession::StartStreamIfNeeded() {
  if (m_is_stream_started) {
    return;
  }
  m_is_stream_started = true;
  HttpHeaders headers = ResponseHeaders(m_state.spec.id, "text/event-stream");
  headers.push_back({"Cache-Control", "no-cache"});
  m_exchange->StartStream(200, std::move(headers));
  ScheduleKeepAlive();
}

void RequestSession::ScheduleKeepAlive() {
  m_context.loop.Cancel(m_keep_alive_timer);
  m_keep_alive_timer = m_context.loop.Schedule(kKeepAliveInterval, [this] {
    if (!m_exchange) {
      return;
    }
    m_exchange->Write(": keep-alive\n\n");
    ScheduleKeepAlive();
  });
}

void RequestSession::ApplyBackPressure() {
  if (m_exchange && m_exchange->BufferedBytes() > kBackPressureBytes &&
      m_attempt && !m_is_paused) {
    m_is_paused = true;
    m_attempt->PauseReading();
  }
}

void RequestSession::Perform(const SendToken& command) {
  m_context.metrics.CountTokens(1);
  if (!IsStreaming() || !m_exchange || command.index < m_first_unsent) {
    return;
  }
  StartStreamIfNeeded();
  m_exchange->Write(TokenEvent(m_state.spec.id, m_state.spec.service,
                               command.index, command.text));
  ApplyBackPressure();
}

std::string RequestSession::JoinedTokens() const {
  std::string text;
  for (const std::string& token : m_state.tokens) {
    text += token;
  }
  return text;
}

void RequestSession::Perform(const SendEnd& command) {
  m_context.routing.RecordSuccess(m_attempt_endpoint);
  m_result = "ok";
  if (!m_exchange) {
    m_finish_reason = command.finish_reason;
    return;
  }
  const RequestSpec& spec = m_state.spec;
  const uint64_t count = m_state.tokens.size();
  if (IsStreaming()) {
    StartStreamIfNeeded();
    m_exchange->Write(
        EndEvents(spec.id, spec.service, count, command.finish_reason));
    m_exchange->Finish();
    return;
  }
  m_exchange->Respond(HttpResponse{
      .status = 200,
      .headers = ResponseHeaders(spec.id, "application/json"),
      .body = CompletionDocument(spec.id, spec.service, count, JoinedTokens(),
                                 command.finish_reason)});
}

void RequestSession::Perform(const SendReply& command) {
  m_context.routing.RecordSuccess(m_attempt_endpoint);
  m_result = "ok";
  HttpHeaders headers =
      ResponseHeaders(m_state.spec.id, command.reply.content_type);
  headers.push_back({"X-Outcome", "ran"});
  m_exchange->Respond(HttpResponse{.status = command.reply.status,
                                   .headers = std::move(headers),
                                   .body = command.reply.body});
}

void RequestSession::Perform(const SendProblem& command) {
  m_result = ProblemTypeName(command.problem.kind);
  m_context.metrics.CountProblem(command.problem.kind, command.problem.outcome);
  if (!m_exchange) {
    m_problem = command.problem;
    return;
  }
  if (m_is_stream_started) {
    m_exchange->Write(
        ErrorEvent(ProblemDocument(command.problem, m_state.spec.id.value())));
    m_exchange->Finish();
    return;
  }
  m_exchange->Respond(
      ProblemResponse(command.problem, m_state.spec.id.value()));
}

void RequestSession::Perform(const ClaimAction& /*command*/) {
  const RequestSessionPtr self(this);
  m_context.claims.Claim(m_state.spec, [self](const ClaimDecided& decided) {
    self->Apply(decided);
  });
}

void RequestSession::Perform(const RecordOutcome& command) {
  m_context.claims.RecordOutcome(m_state.spec, command.reply);
}

void RequestSession::Perform(const ReleaseClaim& /*command*/) {
  m_context.claims.Release(m_state.spec);
}

void RequestSession::Perform(const EndRequest& /*command*/) {
  DropAttempt();
  m_context.loop.Cancel(m_deadline_timer);
  m_context.loop.Cancel(m_keep_alive_timer);
  if (m_exchange) {
    m_exchange->OnDrained(nullptr);
  }
  m_context.metrics.CountEnded(m_state.spec.service.value(), m_result);
  LogEvent(daemon_log::kRequestEnded,
           {{"request", m_state.spec.id.value()},
            {"result", m_result},
            {"attempts", std::to_string(m_state.attempts)},
            {"tokens", std::to_string(m_state.tokens.size())}});
  if (m_finish_reason || m_problem) {
    RetainForReconnect();
    return;
  }
  m_on_end(*this);
}

}  // namespace pistachiowalk
