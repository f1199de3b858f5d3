#include "daemon/caller_api.h"
#include "daemon/audit_trail.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <vector>

#include "bundle/customer_key.h"
#include "daemon/active_bundle.h"
#include "daemon/admission_service.h"
#include "daemon/daemon_log_events.h"
#include "daemon/endpoint_directory.h"
#include "daemon/metrics.h"
#include "daemon/problem_response.h"
#include "daemon/status_document.h"

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr size_t kMaximumKeyCharacters = 128;
constexpr std::chrono::seconds kRetryAfter{1};

Problem MakeProblem(ProblemKind kind, std::string detail) {
  return Problem{.kind = kind,
                 .outcome = RunOutcome::kNotRun,
                 .detail = std::move(detail),
                 .retry_after = {}};
}

bool IsIdempotencyKey(const std::string& key) {
  return !key.empty() && key.size() <= kMaximumKeyCharacters &&
         std::all_of(key.begin(), key.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                  c == '-' || c == '_' || c == '.';
         });
}

// Parses `Idempotency-Attempt`. Returns 1 if the header is absent and nullopt
// if it is malformed.
std::optional<CallerAttempt> ParseCallerAttempt(const std::string& header) {
  if (header.empty()) {
    return 1;
  }
  CallerAttempt attempt = 0;
  const char* end = header.data() + header.size();
  const auto parsed = std::from_chars(header.data(), end, attempt);
  const bool is_valid =
      parsed.ec == std::errc() && parsed.ptr == end && attempt > 0;
  return is_valid ? std::optional(attempt) : std::nullopt;
}

// The parts of the path "/v1/services/<name>/<rest>".
struct PlainTarget {
  ServiceName service;
  std::string path;
};

PlainTarget ParsePlainTarget(const std::string& path) {
  const std::string rest = path.substr(kServicesPath.size());
  const size_t slash = rest.find('/');
  if (slash == std::string::npos) {
    return {ServiceName(rest), "/"};
  }
  return {ServiceName(rest.substr(0, slash)), rest.substr(slash)};
}

}  // namespace

CallerApi::CallerApi(DaemonContext& context) : m_context(context) {
  const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(
      context.clock.WallNow().time_since_epoch());
  m_incarnation = fmt::format("{:x}", started.count());
  m_context.nodes.OnMessage(
      NodeMessageKind::kStreamHandover, [this](const NodeEnvelope& envelope) {
        if (const auto handover = DecodeStreamHandover(envelope.payload)) {
          AcceptHandover(*handover);
        }
      });
}

CallerApi::~CallerApi() {
  m_sessions.clear_and_dispose(
      [](RequestSession* session) { intrusive_ptr_release(session); });
}

RequestId CallerApi::NextRequestId() {
  // The id starts with the data centre, so any node can forward a resume
  // request there.
  return RequestId(fmt::format("{}.{}.{}.{:x}", m_context.data_center.value(),
                               m_context.node.value(), m_incarnation,
                               ++m_last_sequence));
}

void CallerApi::Handle(const HttpExchangePtr& exchange) {
  const std::string& path = exchange->path();
  if (path == kChatPath) {
    HandleChat(exchange);
  } else if (path.starts_with(kServicesPath)) {
    HandlePlainService(exchange);
  } else if (path.starts_with(kRequestsPath)) {
    HandleReconnect(exchange);
  } else {
    HandleOperationalPath(exchange);
  }
}

void CallerApi::HandleOperationalPath(const HttpExchangePtr& exchange) {
  const std::string& path = exchange->path();
  const bool is_ready = m_context.bundle.current() && !m_is_draining;
  if (path == "/healthz") {
    exchange->Respond({200, {{"Content-Type", "text/plain"}}, "ok\n"});
  } else if (path == "/readyz") {
    exchange->Respond({is_ready ? 200 : 503,
                       {{"Content-Type", "text/plain"}},
                       is_ready ? "ready\n" : "not ready\n"});
  } else if (path == "/metrics") {
    m_context.metrics.SetOpenRequests(m_sessions.size());
    exchange->Respond({200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       m_context.metrics.Serialize()});
  } else if (path == "/v1/status") {
    exchange->Respond({200,
                       {{"Content-Type", "application/json"}},
                       StatusDocument(m_context, m_sessions.size())});
  } else if (path == "/v1/audit") {
    exchange->Respond({200,
                       {{"Content-Type", "application/json"}},
                       m_context.audit.Document()});
  } else {
    Reject(exchange,
           MakeProblem(ProblemKind::kUnknownService,
                       "no such path; see docs/interfaces/caller.md"));
  }
}

void CallerApi::Reject(const HttpExchangePtr& exchange, Problem problem) {
  if (ParseCallerAttempt(exchange->Header("Idempotency-Attempt")).value_or(1) >
      1) {
    // NOTE: An earlier attempt with the same idempotency key may have run.
    problem.outcome = RunOutcome::kUnknown;
  }
  m_context.metrics.CountProblem(problem.kind, problem.outcome);
  LogEvent(daemon_log::kRequestRefused,
           {{"type", std::string(ProblemTypeName(problem.kind))},
            {"path", exchange->path()},
            {"detail", problem.detail}});
  exchange->Respond(ProblemResponse(problem, ""));
}

const Customer* CallerApi::AdmitCaller(const HttpExchangePtr& exchange) {
  Problem problem;
  if (m_is_draining) {
    problem = MakeProblem(ProblemKind::kStopping, "send it to another node");
    problem.retry_after = kRetryAfter;
  } else if (!m_context.bundle.current()) {
    problem = MakeProblem(ProblemKind::kNotReady, "");
    problem.retry_after = kRetryAfter;
  } else if (exchange->IsBodyTooLarge()) {
    problem = MakeProblem(ProblemKind::kBodyTooLarge, "");
  } else if (exchange->HasNoRoomForBody()) {
    problem =
        MakeProblem(ProblemKind::kOverloaded, "no memory for the request body");
    problem.retry_after = kRetryAfter;
  } else if (const Customer* customer = Authenticate(*exchange)) {
    return customer;
  } else {
    problem = MakeProblem(ProblemKind::kUnauthenticated,
                          "send `Authorization: Bearer <customer key>`");
  }
  Reject(exchange, std::move(problem));
  return nullptr;
}

const Customer* CallerApi::Authenticate(const HttpExchange& exchange) const {
  const std::string header = exchange.Header("Authorization");
  if (!header.starts_with(kBearerPrefix)) {
    return nullptr;
  }
  return FindCustomerByKeyHash(
      *m_context.bundle.current(),
      HashCustomerKey(header.substr(kBearerPrefix.size())));
}

void CallerApi::HandleChat(const HttpExchangePtr& exchange) {
  const Customer* customer = AdmitCaller(exchange);
  if (customer == nullptr) {
    return;
  }
  if (exchange->method() != "POST") {
    Reject(exchange, MakeProblem(ProblemKind::kMethodNotAllowed, "use POST"));
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(chat, ParseChatRequest(exchange->body()));
        const Service* service =
            FindService(*m_context.bundle.current(), chat.service);
        if (service == nullptr || service->kind != ServiceKind::kModel) {
          Reject(exchange,
                 MakeProblem(ProblemKind::kUnknownService,
                             fmt::format("\"{}\" is not a model service",
                                         chat.service.value())));
          return {};
        }
        StartSession(exchange, *customer, *service,
                     RequestPayload{.chat = std::move(chat), .plain = {}},
                     RequestKind::kGeneration);
        return {};
      },
      [&](const ChatFormatError& error) {
        Reject(exchange,
               MakeProblem(ProblemKind::kMalformedRequest, error.detail));
      },
      [&] {
        Reject(exchange, MakeProblem(ProblemKind::kMalformedRequest, ""));
      });
}

void CallerApi::HandlePlainService(const HttpExchangePtr& exchange) {
  const Customer* customer = AdmitCaller(exchange);
  if (customer == nullptr) {
    return;
  }
  const PlainTarget target = ParsePlainTarget(exchange->path());
  const Service* service =
      FindService(*m_context.bundle.current(), target.service);
  if (service == nullptr || service->kind != ServiceKind::kPlain) {
    Reject(exchange, MakeProblem(ProblemKind::kUnknownService,
                                 fmt::format("\"{}\" is not a plain service",
                                             target.service.value())));
    return;
  }
  const bool is_idempotent = IsIdempotentMethod(*service, exchange->method());
  if (!is_idempotent &&
      !IsIdempotencyKey(exchange->Header("Idempotency-Key"))) {
    Reject(exchange,
           MakeProblem(ProblemKind::kIdempotencyKeyMissing,
                       "send an Idempotency-Key of 1 to 128 letters, digits, "
                       "'-', '_' or '.'"));
    return;
  }
  if (!ParseCallerAttempt(exchange->Header("Idempotency-Attempt"))) {
    Reject(exchange, MakeProblem(ProblemKind::kMalformedRequest,
                                 "Idempotency-Attempt is a number from 1"));
    return;
  }
  RequestPayload payload;
  payload.plain = PlainCall{.method = exchange->method(),
                            .path = target.path + exchange->Query(),
                            .content_type = exchange->Header("Content-Type"),
                            .body = exchange->body()};
  StartSession(
      exchange, *customer, *service, std::move(payload),
      is_idempotent ? RequestKind::kIdempotentCall : RequestKind::kAction);
}

void CallerApi::StartSession(const HttpExchangePtr& exchange,
                             const Customer& customer,
                             const Service& service,
                             RequestPayload payload,
                             RequestKind kind) {
  if (auto problem = m_context.admission.Check(customer, service, kind)) {
    Reject(exchange, std::move(*problem));
    return;
  }
  RequestSpec spec;
  spec.id = NextRequestId();
  spec.customer = customer.name;
  spec.service = service.name;
  spec.kind = kind;
  spec.deadline = m_context.clock.Now() + service.deadline;
  if (kind == RequestKind::kAction) {
    spec.idempotency_key = exchange->Header("Idempotency-Key");
    spec.caller_attempt =
        ParseCallerAttempt(exchange->Header("Idempotency-Attempt")).value_or(1);
    spec.body_digest =
        HashCustomerKey(payload.plain->method + "\n" + payload.plain->path +
                        "\n" + payload.plain->body);
  }
  const RequestSessionPtr session(
      new RequestSession(m_context, exchange, m_context.bundle.current(),
                         std::move(spec), std::move(payload),
                         [this](RequestSession& ended) { EndSession(ended); }));
  AddSession(session);
  session->Start();
}

void CallerApi::AddSession(const RequestSessionPtr& session) {
  intrusive_ptr_add_ref(session.get());
  m_sessions.push_back(*session);
}

void CallerApi::EndSession(RequestSession& session) {
  m_sessions.erase(m_sessions.iterator_to(session));
  // NOTE: The reference is released from the event loop because the caller of
  // this function is a member function of the session.
  m_context.loop.Post([held = RequestSessionPtr(&session, false)] {});
  if (m_is_draining && m_sessions.empty() && m_on_idle) {
    m_context.loop.Post(m_on_idle);
  }
}

void CallerApi::StartDraining(Duration handover_delay,
                              std::function<void()> on_idle) {
  m_is_draining = true;
  m_on_idle = std::move(on_idle);
  m_context.loop.Schedule(handover_delay, [this] { HandOverStreams(); });
  if (m_sessions.empty()) {
    m_context.loop.Post(m_on_idle);
  }
}

void CallerApi::AbortAll() {
  for (RequestSession& session : m_sessions) {
    session.Abort();
  }
}

void CallerApi::HandleEndpointLeaving(const EndpointId& endpoint) {
  // NOTE: Handling the event can end a session and remove it from m_sessions,
  // so the list is copied first.
  std::vector<RequestSessionPtr> sessions;
  for (RequestSession& session : m_sessions) {
    sessions.emplace_back(&session);
  }
  for (const RequestSessionPtr& session : sessions) {
    session->HandleEndpointLeaving(endpoint);
  }
}

}  // namespace pistachiowalk
