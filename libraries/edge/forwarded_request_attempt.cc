#include <fmt/format.h>

#include <algorithm>

#include "base/event_log.h"
#include "duty/usage_ledger.h"
#include "edge/edge_log_events.h"
#include "edge/edge_metrics.h"
#include "edge/forwarded_request.h"
#include "following/cluster_time.h"
#include "http1/message_writer.h"
#include "net/event_loop.h"
#include "upstream/endpoint_registry.h"

// The part of a forwarded request that speaks to endpoints.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Time for a new connection: a few round trips between regions.
constexpr Duration kConnectTimeout = milliseconds(300);
// A stream without its first event is taken up elsewhere after this many times
// its latency target, and after a pause of this many times its gap target.
constexpr int kFirstEventStall = 2;
constexpr int kGapStall = 3;
// An idempotent call without an answer is repeated after this many times its
// latency target.
constexpr int kCallStall = 2;
// A further attempt is worth while with this part of the latency target left.
constexpr int kLeastTimeDivisor = 3;
// How often a request checks whether its endpoint has stalled.
constexpr Duration kCheckInterval = milliseconds(200);
// Bytes that a slow caller may leave unsent before the endpoint is no longer
// read.
constexpr size_t kMostUnsent = 256 * 1024;
// The most urgent route's priority at the engines, where 5 is the usual.
constexpr uint32_t kMostUrgentAtEngine = 3;
constexpr uint32_t kLeastUrgentAtEngine = 8;

std::string_view OutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kRejected:
      return "rejected";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

ResponseQuality ResponseQualityOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return ResponseQuality::kGood;
    case AttemptOutcome::kRejected:
      return ResponseQuality::kRejected;
    case AttemptOutcome::kFailed:
      return ResponseQuality::kFailed;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kUnknown:
      return ResponseQuality::kBroken;
  }
  return ResponseQuality::kBroken;
}

bool WasNotExecuted(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kRejected ||
         outcome == AttemptOutcome::kNotSent;
}

}  // namespace

std::string ForwardedRequest::WriteAttempt(const LiveEndpoint& endpoint) const {
  ForwardingFields fields{
      .time_left = std::chrono::duration_cast<milliseconds>(TimeLeft()),
      .endpoint = endpoint.entry().id,
      .customer = m_customer,
      .last_event_id = m_splitter.last_event_id()};
  if (m_has_engine) {
    fields.engine_priority =
        std::min(kMostUrgentAtEngine + m_route->priority, kLeastUrgentAtEngine);
  }
  const RequestHead& head = m_exchange->head();
  HttpHeaders headers = m_context.wire.WriteRequest(head, fields);
  if (head.framing != BodyFraming::kNone) {
    headers.push_back(
        {"Content-Length", std::to_string(m_exchange->body().size())});
  }
  std::string bytes;
  bytes.reserve(1024 + m_exchange->body().size());
  AppendRequestHead(bytes, head.method, head.target, headers);
  bytes += m_exchange->body();
  return bytes;
}

void ForwardedRequest::StartAttempt(const Placement& placement) {
  const TimePoint now = m_context.clock.Now();
  const LiveEndpointPtr endpoint = m_context.endpoints.Find(placement.id);
  const std::optional<AcquiredConnection> acquired =
      endpoint->connections.TryAcquire(now);
  SharedRetryBudget& budget = m_context.retry_budgets[m_service];
  if (m_sends == 0) {
    budget.RecordRequest(m_context.retry_budget_config, now);
  } else {
    budget.RecordRetry();
    m_context.metrics.CountRetry();
  }
  ++m_sends;
  ++m_executions;
  m_used.push_back(placement.id);
  m_attempt = Attempt{};
  Attempt& attempt = *m_attempt;
  attempt.endpoint = endpoint;
  attempt.connection = acquired->connection;
  attempt.is_new_connection = acquired->is_new;
  attempt.started_at = now;
  attempt.progress_at = now;
  attempt.expected_first_event_ms = placement.expected_first_event_ms;
  attempt.work = OutstandingWork{.requests = 1};
  if (m_has_engine && m_request.tokens) {
    attempt.work.pending_prompt_tokens = placement.uncached_tokens;
    attempt.work.context_tokens =
        double(m_request.tokens->first) + m_request.tokens->second;
    m_context.endpoints.prefixes().RecordSend(endpoint->key(), m_request.prompt,
                                              now);
  }
  endpoint->own_work = endpoint->own_work + attempt.work;
  LogEvent(
      edge_log::kPlaced,
      {{"request", m_request.id.value()},
       {"endpoint", placement.id.value()},
       {"expected_ms",
        fmt::format("{:.0f}", placement.expected_first_event_ms)},
       {"uncached_tokens", fmt::format("{:.0f}", placement.uncached_tokens)},
       {"told_age_ms",
        endpoint->has_reported_load
            ? fmt::format("{:.0f}", MillisecondsSince(
                                        endpoint->reported_load.received_at))
            : "-"},
       {"connection", acquired->is_new ? "new" : "kept"},
       {"send", std::to_string(m_sends)},
       {"resumes_after", m_splitter.last_event_id()}});
  attempt.connection->Send(
      WriteAttempt(*endpoint),
      ClientConnection::ResponseHandlers{
          .head = [this](const ResponseHead& head) { return OnHead(head); },
          .body = [this](std::string_view bytes) { OnBody(bytes); },
          .end = [this](ResponseEnd end) { OnEnd(end); }});
  ScheduleCheck();
}

bool ForwardedRequest::OnHead(const ResponseHead& head) {
  constexpr int kFirstFinalStatus = 200;
  if (head.status < kFirstFinalStatus) {
    return false;
  }
  const EndpointAnswer answer = m_context.wire.ReadAnswer(head);
  if (!answer.id.IsEmpty() && answer.id != m_request.id) {
    // NOTE: A second or late answer to an earlier request of the connection.
    return false;
  }
  Attempt& attempt = *m_attempt;
  attempt.progress_at = m_context.clock.Now();
  attempt.head = head;
  attempt.answer = answer;
  if (answer.load) {
    attempt.endpoint->reported_load = *answer.load;
    attempt.endpoint->reported_load.received_at = attempt.progress_at;
    attempt.endpoint->has_reported_load = true;
  }
  return true;
}

void ForwardedRequest::OnFirstEvent() {
  Attempt& attempt = *m_attempt;
  attempt.has_first_event = true;
  attempt.endpoint->own_work.pending_prompt_tokens =
      std::max(0.0, attempt.endpoint->own_work.pending_prompt_tokens -
                        attempt.work.pending_prompt_tokens);
  attempt.work.pending_prompt_tokens = 0.0;
  const double measured = MillisecondsSince(attempt.started_at);
  if (m_has_engine) {
    attempt.endpoint->health.RecordFirstEvent(measured,
                                              attempt.expected_first_event_ms);
    m_context.metrics.ObserveEstimateError(
        std::max(0.0, measured - attempt.expected_first_event_ms) / 1000.0);
  }
  if (!m_first_event_ms) {
    m_first_event_ms = MillisecondsSince(m_started_at);
    m_context.metrics.ObserveFirstEvent(*m_first_event_ms / 1000.0);
  }
  if (!m_counted_usage && !m_customer.IsEmpty()) {
    m_counted_usage = true;
    m_context.usage.NoteStarted(
        m_customer, m_context.usage.WindowOf(
                        m_context.true_time.At(m_context.clock.Now())));
  }
}

void ForwardedRequest::OnBody(std::string_view bytes) {
  Attempt& attempt = *m_attempt;
  attempt.progress_at = m_context.clock.Now();
  const bool is_passed_on = IsStream() && attempt.head->status / 100 == 2 &&
                            attempt.answer.has_seal &&
                            !attempt.answer.is_encoded;
  if (!is_passed_on) {
    attempt.body += bytes;
    return;
  }
  // NOTE: A broken event cannot be taken back, so only whole ones are passed
  // on where another endpoint may go on.
  const std::string whole = m_splitter.Feed(bytes);
  const std::string_view passed =
      PassesWholeEvents() ? std::string_view(whole) : bytes;
  if (passed.empty()) {
    return;
  }
  if (!attempt.has_first_event) {
    OnFirstEvent();
  }
  if (!m_exchange->has_begun()) {
    m_exchange->Begin(attempt.head->status, attempt.head->reason,
                      m_context.wire.WriteAnswer(*attempt.head));
  }
  m_exchange->SendChunk(passed);
  if (m_exchange->unsent_bytes() > kMostUnsent) {
    attempt.connection->SetReading(false);
  }
}

AttemptOutcome ForwardedRequest::OutcomeOf(ResponseEnd end) const {
  const Attempt& attempt = *m_attempt;
  if (end == ResponseEnd::kNotConnected) {
    return AttemptOutcome::kNotSent;
  }
  constexpr int kMisdirected = 421;
  if (attempt.head &&
      (attempt.answer.is_not_run || attempt.head->status == kMisdirected)) {
    return AttemptOutcome::kRejected;
  }
  if (end != ResponseEnd::kComplete) {
    return AttemptOutcome::kUnknown;
  }
  if (attempt.head->status / 100 != 2) {
    return AttemptOutcome::kFailed;
  }
  if (!attempt.answer.has_seal || attempt.answer.is_encoded) {
    return AttemptOutcome::kUnknown;
  }
  return AttemptOutcome::kAnswered;
}

void ForwardedRequest::OnEnd(ResponseEnd end) {
  const boost::intrusive_ptr<ForwardedRequest> keep(this);
  const AttemptOutcome outcome = OutcomeOf(end);
  if (outcome == AttemptOutcome::kAnswered) {
    if (!IsStream() && !m_attempt->has_first_event) {
      OnFirstEvent();
    }
    PassAnswer();
    return;
  }
  std::string detail;
  if (m_attempt->head) {
    detail = fmt::format("status {}", m_attempt->head->status);
  }
  switch (end) {
    case ResponseEnd::kComplete:
      break;
    case ResponseEnd::kNotConnected:
      detail += "no connection";
      break;
    case ResponseEnd::kNoResponse:
      detail += "closed without an answer";
      break;
    case ResponseEnd::kBrokenResponse:
      detail += " the answer broke off";
      break;
  }
  EndAttempt(outcome, detail);
}

void ForwardedRequest::PassAnswer() {
  if (IsStream()) {
    FinishStream();
    return;
  }
  const Attempt& attempt = *m_attempt;
  const int status = attempt.head->status;
  const HttpHeaders headers = m_context.wire.WriteAnswer(*attempt.head);
  const std::string body = attempt.body;
  ReleaseAttempt(AttemptOutcome::kAnswered);
  const ServerExchangePtr exchange = m_exchange;
  End(status, "answered");
  exchange->Respond(status, headers, body);
}

void ForwardedRequest::FinishStream() {
  Attempt& attempt = *m_attempt;
  if (!m_exchange->has_begun()) {
    m_exchange->Begin(attempt.head->status, attempt.head->reason,
                      m_context.wire.WriteAnswer(*attempt.head));
  }
  if (PassesWholeEvents()) {
    m_exchange->SendChunk(m_splitter.incomplete_event());
  }
  const int status = attempt.head->status;
  ReleaseAttempt(AttemptOutcome::kAnswered);
  const ServerExchangePtr exchange = m_exchange;
  End(status, "answered");
  exchange->Finish();
}

void ForwardedRequest::ReleaseAttempt(std::optional<AttemptOutcome> outcome) {
  const TimePoint now = m_context.clock.Now();
  const Attempt attempt = std::move(*m_attempt);
  m_attempt.reset();
  OutstandingWork& work = attempt.endpoint->own_work;
  work.requests -= std::min(work.requests, attempt.work.requests);
  work.pending_prompt_tokens = std::max(
      0.0, work.pending_prompt_tokens - attempt.work.pending_prompt_tokens);
  work.context_tokens =
      std::max(0.0, work.context_tokens - attempt.work.context_tokens);
  attempt.endpoint->connections.Release(attempt.connection,
                                        attempt.answer.idle_limit, now);
  if (outcome) {
    attempt.endpoint->health.Record(ResponseQualityOf(*outcome), now);
  } else if (!attempt.head &&
             now - attempt.started_at > m_route->latency_target) {
    // The caller left since nothing came.
    attempt.endpoint->health.Record(ResponseQuality::kBroken, now);
  }
  m_context.metrics.CountAttempt(outcome ? std::string(OutcomeName(*outcome))
                                         : "cancelled");
}

NextStep ForwardedRequest::StepAfter(AttemptOutcome outcome) {
  const Duration least_time = m_route->latency_target / kLeastTimeDivisor;
  // The endpoint found fault with the request, and so would any other.
  const bool is_callers_fault =
      outcome == AttemptOutcome::kFailed && m_attempt->head->status / 100 == 4;
  return DecideNextStep(
      outcome,
      RetryContext{.kind = m_route->kind,
                   .is_resumable = m_route->is_resumable,
                   .maximum_attempts = m_route->maximum_attempts,
                   .executions = WasNotExecuted(outcome) ? m_executions - 1
                                                         : m_executions,
                   .sends = m_sends,
                   .has_started_response = m_exchange->has_begun(),
                   .has_budget = !is_callers_fault &&
                                 m_context.retry_budgets[m_service].CanRetry(
                                     m_context.retry_budget_config,
                                     m_context.clock.Now()),
                   .has_time = TimeLeft() > least_time});
}

void ForwardedRequest::EndAttempt(AttemptOutcome outcome,
                                  std::string_view detail) {
  const Attempt attempt = *m_attempt;
  LogEvent(
      edge_log::kAttemptEnded,
      {{"request", m_request.id.value()},
       {"endpoint", attempt.endpoint->entry().id.value()},
       {"outcome", std::string(OutcomeName(outcome))},
       {"detail", std::string(detail)},
       {"connection", attempt.is_new_connection ? "new" : "kept"},
       {"ms", fmt::format("{:.0f}", MillisecondsSince(attempt.started_at))}});
  const NextStep step = StepAfter(outcome);
  ReleaseAttempt(outcome);
  m_splitter.DiscardIncompleteEvent();
  if (WasNotExecuted(outcome)) {
    --m_executions;
  } else {
    m_may_have_run = true;
  }
  if (step == NextStep::kForwardFailure) {
    const HttpHeaders headers = m_context.wire.WriteAnswer(*attempt.head);
    const ServerExchangePtr exchange = m_exchange;
    End(attempt.head->status, "endpoint_failed");
    exchange->Respond(attempt.head->status, headers, attempt.body);
    return;
  }
  Follow(step, outcome);
}

void ForwardedRequest::Follow(NextStep step, AttemptOutcome outcome) {
  switch (step) {
    case NextStep::kRetry:
      Place();
      return;
    case NextStep::kReportNotExecuted:
      Refuse(503,
             outcome == AttemptOutcome::kRejected ? "endpoint_rejected"
                                                  : "endpoint_unreachable",
             milliseconds(200));
      return;
    case NextStep::kForwardFailure:
    case NextStep::kReportUnknownOutcome:
      TellUnknown(502, "outcome_unknown");
      return;
    case NextStep::kAbortResponse: {
      const ServerExchangePtr exchange = m_exchange;
      End(502, "stream_broken");
      exchange->Abort();
      return;
    }
  }
}

std::optional<TimePoint> ForwardedRequest::StallTime() const {
  const Attempt& attempt = *m_attempt;
  if (!attempt.connection->is_connected()) {
    return attempt.started_at + kConnectTimeout;
  }
  if (IsStream()) {
    if (!m_route->is_resumable) {
      return std::nullopt;
    }
    if (!attempt.has_first_event) {
      return attempt.started_at + kFirstEventStall * m_route->latency_target;
    }
    return attempt.progress_at + kGapStall * m_route->gap_target;
  }
  if (m_route->kind == RouteKind::kIdempotent) {
    return attempt.started_at + kCallStall * m_route->latency_target;
  }
  return std::nullopt;
}

void ForwardedRequest::ScheduleCheck() {
  m_context.loop.Cancel(m_timer);
  const Duration wait =
      std::clamp<Duration>(TimeLeft(), milliseconds(1), kCheckInterval);
  m_timer = m_context.loop.Schedule(wait, [this] { Check(); });
}

void ForwardedRequest::Check() {
  const boost::intrusive_ptr<ForwardedRequest> keep(this);
  m_timer = 0;
  const TimePoint now = m_context.clock.Now();
  if (!m_attempt) {
    return;
  }
  if (m_exchange->unsent_bytes() <= kMostUnsent) {
    m_attempt->connection->SetReading(true);
  }
  const bool is_overdue = now >= m_deadline;
  const std::optional<TimePoint> stall_time = StallTime();
  if (!is_overdue && (!stall_time || now < *stall_time)) {
    ScheduleCheck();
    return;
  }
  const bool has_sent = m_attempt->connection->has_sent();
  const AttemptOutcome outcome =
      has_sent ? AttemptOutcome::kUnknown : AttemptOutcome::kNotSent;
  if (!is_overdue && StepAfter(outcome) != NextStep::kRetry) {
    // NOTE: A silent endpoint may still answer; without another way to go on,
    // its silence is no reason to end the answer.
    ScheduleCheck();
    return;
  }
  m_attempt->connection->Close();
  EndAttempt(outcome, is_overdue ? "the time was up" : "no progress");
}

}  // namespace pistachiowalk
