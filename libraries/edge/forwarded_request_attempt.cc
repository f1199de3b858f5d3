#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "base/event_log.h"
#include "duty/usage_ledger.h"
#include "edge/edge_log_events.h"
#include "edge/edge_metrics.h"
#include "edge/forwarded_request.h"
#include "following/cluster_time.h"
#include "http1/message_writer.h"
#include "net/event_loop.h"
#include "rollout/rollout_node.h"
#include "serving/prompt_quarantine.h"
#include "serving/worker_limits.h"
#include "upstream/endpoint_check.h"
#include "upstream/endpoint_registry.h"

// The part of ForwardedRequest that communicates with endpoints.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// Timeout of a new connection: a few round trips between regions.
constexpr Duration kConnectTimeout = milliseconds(300);
// Time for a connection to a worker that may have ended; longer than
// kConnectTimeout is of no use, as the request waits for it.
constexpr Duration kCrashCheckTimeout = kConnectTimeout;
// A resumable stream is retried at another endpoint after this many latency
// targets without its first event, or after this many gap targets without
// progress.
constexpr int kFirstEventStallFactor = 2;
constexpr int kGapStallFactor = 3;
// An idempotent call without a response is retried after this many latency
// targets.
constexpr int kCallStallFactor = 2;
// A retry needs more than the latency target divided by this to be left of the
// deadline.
constexpr int kMinimumTimeDivisor = 3;
// How often a request checks whether its endpoint has stalled.
constexpr Duration kCheckInterval = milliseconds(200);
// Unsent bytes of a slow caller at which reading from the endpoint is paused.
constexpr size_t kMaximumUnsentBytes = 256 * 1024;
// Maximum size of a response that is buffered until it is complete.
constexpr size_t kMaximumResponseBytes = size_t{8} * 1024 * 1024;
// Bound of the random time that is added to a worker's pause.
constexpr Duration kMaximumPauseSpread = milliseconds(500);
// Status of an endpoint that is not the one the request expects.
constexpr int kMisdirected = 421;
// Maximum size of one event of a stream.
constexpr size_t kMaximumEventBytes = 1024 * 1024;
// Range of the engine priorities used for routes; 5 is the engines' usual one.
constexpr uint32_t kMostUrgentEnginePriority = 3;
constexpr uint32_t kLeastUrgentEnginePriority = 8;

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

std::string FormatRateLimit(const NamedRateLimit& limit) {
  switch (limit.state) {
    case NamedRateLimit::State::kNone:
      return "none";
    case NamedRateLimit::State::kNamed:
      return fmt::format("{:.3f}", limit.requests_per_second);
    case NamedRateLimit::State::kUnreadable:
      return "unreadable";
  }
  return "none";
}

std::string ContentType(const ResponseHead& head) {
  const std::string* type = FindHeader(head.headers, "Content-Type");
  return type == nullptr ? std::string() : *type;
}

bool IsEventStream(const ResponseHead& head) {
  constexpr std::string_view kEventStream = "text/event-stream";
  const std::string type = ContentType(head);
  return boost::beast::iequals(
      boost::beast::string_view(type).substr(0, kEventStream.size()),
      boost::beast::string_view(kEventStream.data(), kEventStream.size()));
}

// Whether the status tells callers that the request was not executed. An
// endpoint's own response with it does not mean that.
bool IsPromise(int status) {
  constexpr std::array<int, 4> kPromises = {408, kMisdirected, 429, 503};
  return std::find(kPromises.begin(), kPromises.end(), status) !=
         kPromises.end();
}

bool WasNotExecuted(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kRejected ||
         outcome == AttemptOutcome::kNotSent;
}

}  // namespace

std::string ForwardedRequest::SerializeHead(const LiveEndpoint& endpoint,
                                            const Placement& placement) const {
  ForwardingFields fields{
      .time_left = std::chrono::duration_cast<milliseconds>(TimeLeft()),
      .endpoint = endpoint.entry().id,
      .customer = m_customer,
      .last_event_id = m_splitter.last_event_id()};
  if (placement.fetch_from) {
    const LiveEndpointPtr source =
        m_context.endpoints.Find(*placement.fetch_from);
    if (source) {
      fields.fetch_from = source->entry().address;
    }
  }
  if (m_has_engine) {
    fields.engine_priority =
        kMostUrgentEnginePriority +
        std::min(m_priority,
                 kLeastUrgentEnginePriority - kMostUrgentEnginePriority);
  }
  const RequestHead& head = m_exchange->head();
  HttpHeaders headers = m_context.wire.WriteRequest(head, fields);
  if (head.framing != BodyFraming::kNone) {
    headers.push_back(
        {"Content-Length", std::to_string(m_exchange->body().size())});
  }
  std::string bytes;
  AppendRequestHead(bytes, head.method, head.target, headers);
  return bytes;
}

void ForwardedRequest::StartAttempt(const Placement& placement) {
  const TimePoint now = m_context.clock.Now();
  const LiveEndpointPtr endpoint = m_context.endpoints.Find(placement.id);
  // NOTE: An endpoint that refused the request before may write the refusal
  // once more, which would look like the response to this attempt.
  const bool was_tried =
      std::find(m_tried_endpoints.begin(), m_tried_endpoints.end(),
                placement.id) != m_tried_endpoints.end();
  const std::optional<AcquiredConnection> acquired =
      endpoint->connections.TryAcquire(
          now, was_tried ? ConnectionChoice::kNewOnly : ConnectionChoice::kAny);
  SharedRetryBudget& budget = m_context.retry_budgets[m_service];
  if (m_sends == 0) {
    budget.RecordRequest(m_context.retry_budget_config, now);
  } else {
    budget.RecordRetry();
    m_context.metrics.CountRetry();
  }
  m_context.worker_limits.RecordSend(endpoint->key(), now);
  m_context.rollouts.RecordSend(m_service, m_route->name,
                                endpoint->entry().version, now,
                                endpoint->key());
  CountRollout(endpoint->entry().version, "sent");
  ++m_sends;
  ++m_executions;
  m_tried_endpoints.push_back(placement.id);
  m_attempt = Attempt{};
  Attempt& attempt = *m_attempt;
  attempt.endpoint = endpoint;
  attempt.version = endpoint->entry().version;
  attempt.connection = acquired->connection;
  attempt.is_new_connection = acquired->is_new;
  attempt.started_at = now;
  attempt.progress_at = now;
  attempt.expected_first_event = placement.first_event;
  attempt.work = OutstandingWork{.requests = 1};
  if (m_has_engine && m_request.tokens) {
    attempt.work.pending_prompt_tokens = placement.uncached_tokens;
    m_context.metrics.CountPromptTokens(placement.uncached_tokens,
                                        placement.fetched_tokens);
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
       {"version", endpoint->entry().version.value()},
       {"expected_ms", fmt::format("{:.0f}", placement.first_event.total_ms)},
       {"uncached_tokens", fmt::format("{:.0f}", placement.uncached_tokens)},
       {"fetched_tokens", fmt::format("{:.0f}", placement.fetched_tokens)},
       {"fetch_from",
        placement.fetch_from ? placement.fetch_from->value() : "-"},
       {"told_age_ms",
        endpoint->has_reported_load
            ? fmt::format("{:.0f}", MillisecondsSince(
                                        endpoint->reported_load.received_at))
            : "-"},
       {"connection", acquired->is_new ? "new" : "kept"},
       {"send", std::to_string(m_sends)},
       {"resumes_after", m_splitter.last_event_id()},
       {"caller_resumes", m_request.resumed_id.value()},
       {"caller_resumes_after", m_request.last_event_id}});
  attempt.connection->Send(
      SerializeHead(*endpoint, placement),
      ClientConnection::ResponseHandlers{
          .head = [this](const ResponseHead& head) { return OnHead(head); },
          .body = [this](std::string_view bytes) { OnBody(bytes); },
          .end = [this](ResponseEnd end) { OnEnd(end); }},
      !IsHeadRequest(), m_exchange->shared_body());
  ScheduleProgressCheck();
}

bool ForwardedRequest::OnHead(const ResponseHead& head) {
  constexpr int kFirstFinalStatus = 200;
  if (head.status < kFirstFinalStatus) {
    return false;
  }
  const EndpointResponse response = m_context.wire.ReadResponse(head);
  // NOTE: Also if the response is a late one to another request.
  if (response.is_leaving &&
      m_context.endpoints.NoteLeaving(*m_attempt->endpoint)) {
    m_context.metrics.CountWorkerLeaving();
    LogEvent(edge_log::kWorkerLeaving,
             {{"endpoint", m_attempt->endpoint->entry().id.value()},
              {"status", std::to_string(head.status)}});
  }
  if (!response.id.IsEmpty() && response.id != m_request.id) {
    // NOTE: A duplicate or late response to an earlier request of the
    // connection.
    return false;
  }
  NotePause(response);
  Attempt& attempt = *m_attempt;
  const bool is_refusal =
      response.is_not_executed || head.status == kMisdirected;
  if (is_refusal && response.id.IsEmpty() && !m_request.id.IsEmpty() &&
      !attempt.is_new_connection) {
    // NOTE: It may be an earlier refusal, written once more. Endpoints name the
    // request in their own.
    return false;
  }
  attempt.progress_at = m_context.clock.Now();
  if (!response.is_leaving) {
    attempt.endpoint->answered_at = attempt.progress_at;
  }
  attempt.head = head;
  attempt.response = response;
  if (response.load) {
    attempt.endpoint->reported_load = *response.load;
    attempt.endpoint->reported_load.received_at = attempt.progress_at;
    attempt.endpoint->has_reported_load = true;
    if (response.load->work_time_percent) {
      attempt.endpoint->work_time = AddWorkTimeReport(
          attempt.endpoint->work_time, *response.load->work_time_percent,
          attempt.progress_at);
    }
  }
  // NOTE: A response without id may be a late one to another request.
  if (!response.id.IsEmpty() &&
      m_context.worker_limits.Observe(
          attempt.endpoint->key(), response.rate_limit, attempt.progress_at)) {
    LogEvent(edge_log::kWorkerLimit,
             {{"endpoint", attempt.endpoint->entry().id.value()},
              {"status", std::to_string(head.status)},
              {"limit", FormatRateLimit(response.rate_limit)}});
  }
  return true;
}

void ForwardedRequest::NotePause(const EndpointResponse& response) {
  // NOTE: A response without id may be an earlier one, written once more.
  if (!response.pause || response.id.IsEmpty()) {
    return;
  }
  LiveEndpoint& endpoint = *m_attempt->endpoint;
  const TimePoint now = m_context.clock.Now();
  // The requests that wait for the end of several pauses return one after
  // another.
  const Duration spread =
      std::min<Duration>(kMaximumPauseSpread, *response.pause / 4);
  const TimePoint until = now + *response.pause +
                          std::chrono::duration_cast<Duration>(
                              spread * std::uniform_real_distribution<double>(
                                           0.0, 1.0)(m_context.random));
  if (until <= endpoint.paused_until) {
    return;
  }
  endpoint.paused_until = until;
  m_context.metrics.CountWorkerPause();
  LogEvent(edge_log::kWorkerPaused,
           {{"endpoint", endpoint.entry().id.value()},
            {"ms", std::to_string(response.pause->count())}});
}

void ForwardedRequest::OnFirstEvent() {
  Attempt& attempt = *m_attempt;
  attempt.has_first_event = true;
  const double prompt_tokens = attempt.work.pending_prompt_tokens;
  attempt.endpoint->own_work.pending_prompt_tokens =
      std::max(0.0, attempt.endpoint->own_work.pending_prompt_tokens -
                        attempt.work.pending_prompt_tokens);
  attempt.work.pending_prompt_tokens = 0.0;
  const double measured = MillisecondsSince(attempt.started_at);
  attempt.first_event_ms = measured;
  RecordFirstEventPace(measured);
  if (m_has_engine) {
    const FirstEventEstimate& expected = attempt.expected_first_event;
    attempt.endpoint->health.RecordFirstEvent(measured, expected.total_ms);
    if (!expected.waits_for_room) {
      FirstEventSamples& samples = m_context.first_events[m_service];
      samples = AddSample(samples, prompt_tokens, measured);
    }
    m_context.metrics.ObserveEstimateError(
        std::max(0.0, measured - expected.total_ms) / 1000.0);
  }
  NotePrefixRead();
  if (m_request.shared_parts.empty()) {
    NoteAnswered();
  } else {
    m_context.quarantine.RecordBegun(
        m_request.shared_parts, attempt.started_at, m_context.clock.Now(),
        m_context.quarantine.NeedsFingerprints() ? std::optional(Fingerprint())
                                                 : std::nullopt);
  }
  if (!m_first_event_ms) {
    m_first_event_ms = MillisecondsSince(m_started_at);
    m_context.metrics.ObserveFirstEvent(*m_first_event_ms / 1000.0);
  }
  if (!m_has_counted_usage && !m_customer.IsEmpty()) {
    m_has_counted_usage = true;
    m_context.usage.NoteStarted(
        m_customer, m_context.usage.WindowOf(
                        m_context.cluster_time.At(m_context.clock.Now())));
  }
}

void ForwardedRequest::NotePrefixRead() {
  if (m_context.note_prefix_read && m_transfer.is_possible() &&
      m_request.prompt.size() > 1) {
    m_context.note_prefix_read(
        m_attempt->endpoint->key(),
        std::span(m_request.prompt).first(m_request.prompt.size() - 1));
  }
}

void ForwardedRequest::RecordFirstEventPace(double measured_ms) {
  Attempt& attempt = *m_attempt;
  const TimePoint now = m_context.clock.Now();
  CapacitySamples& capacity = attempt.endpoint->capacity;
  const FirstEventEstimate& expected = attempt.expected_first_event;
  if (m_has_engine) {
    if (!expected.waits_for_room && expected.usual_ms > 0.0) {
      capacity = AddFirstEvent(capacity, measured_ms, expected.usual_ms, now);
    }
  } else {
    const auto times = m_context.response_times.find(m_route->name);
    if (times != m_context.response_times.end()) {
      capacity =
          AddFirstEvent(capacity, measured_ms,
                        std::chrono::duration<double, std::milli>(
                            times->second.Expected(m_route->latency_target))
                            .count(),
                        now);
    }
  }
}

void ForwardedRequest::RecordEventGap(TimePoint previous_event) {
  Attempt& attempt = *m_attempt;
  const bool counts = !std::exchange(attempt.has_paused_reading, false);
  if (counts && m_has_engine && attempt.has_first_event) {
    attempt.endpoint->capacity =
        AddEventGap(attempt.endpoint->capacity,
                    MillisecondsSince(previous_event), m_context.clock.Now());
  }
}

void ForwardedRequest::NoteAnswered() {
  if (m_context.quarantine.NeedsFingerprints()) {
    m_context.quarantine.RecordAnswered(Fingerprint(), m_attempt->started_at,
                                        m_context.clock.Now());
  }
}

void ForwardedRequest::OnBody(std::string_view bytes) {
  const boost::intrusive_ptr<ForwardedRequest> self_reference(this);
  Attempt& attempt = *m_attempt;
  attempt.body_bytes += bytes.size();
  const bool is_forwarded = IsStream() && attempt.head->status / 100 == 2 &&
                            attempt.response.has_seal &&
                            !attempt.response.is_encoded &&
                            ContinuesBegunResponse();
  if (!is_forwarded) {
    BufferBody(bytes);
    return;
  }
  const uint64_t earlier_events = m_splitter.event_count();
  // NOTE: An incomplete event cannot be revoked, so only complete ones are
  // forwarded if another endpoint may resume the stream.
  const std::string complete_events = m_splitter.Feed(bytes);
  if (m_splitter.incomplete_event().size() > kMaximumEventBytes) {
    CutOffAttempt("event without end");
    return;
  }
  if (!ReserveBuffer(0)) {
    return;
  }
  const uint64_t new_events = m_splitter.event_count() - earlier_events;
  attempt.events += new_events;
  const bool has_event = new_events > 0;
  if (has_event) {
    RecordEventGap(attempt.progress_at);
    // NOTE: Comments and parts of events are no progress; an endpoint that has
    // stalled may still send them.
    attempt.progress_at = m_context.clock.Now();
  }
  const std::string_view forwarded =
      ForwardsCompleteEvents() ? std::string_view(complete_events) : bytes;
  if (forwarded.empty()) {
    return;
  }
  if (has_event && !attempt.has_first_event) {
    OnFirstEvent();
  }
  BeginResponse();
  m_exchange->SendChunk(forwarded);
  if (m_exchange->unsent_bytes() > kMaximumUnsentBytes) {
    attempt.connection->SetReading(false);
    attempt.has_paused_reading = true;
  }
}

void ForwardedRequest::BufferBody(std::string_view bytes) {
  Attempt& attempt = *m_attempt;
  attempt.progress_at = m_context.clock.Now();
  if (attempt.body.size() + bytes.size() > kMaximumResponseBytes) {
    CutOffAttempt("response too large");
    return;
  }
  if (ReserveBuffer(bytes.size())) {
    attempt.body += bytes;
  }
}

bool ForwardedRequest::ReserveBuffer(size_t more) {
  Attempt& attempt = *m_attempt;
  const size_t held =
      attempt.body.size() + m_splitter.incomplete_event().size();
  if (m_context.buffers.Reserve(attempt.reserved_bytes, held + more)) {
    return true;
  }
  attempt.is_abandoned = true;
  CutOffAttempt("no memory for the response");
  return false;
}

void ForwardedRequest::CutOffAttempt(std::string_view detail) {
  m_attempt->connection->Close();
  EndAttempt(AttemptOutcome::kUnknown, detail);
}

bool ForwardedRequest::IsTruncatedStream() const {
  if (!IsStream() || !m_attempt->head) {
    return false;
  }
  const ResponseHead& head = *m_attempt->head;
  if (head.framing == BodyFraming::kUntilClose && m_attempt->events == 0) {
    return true;
  }
  // NOTE: A worker that fails may still end the framing of its response well.
  return (head.framing == BodyFraming::kUntilClose || IsEventStream(head)) &&
         m_splitter.is_inside_event();
}

void ForwardedRequest::BeginResponse() {
  if (!m_exchange->has_begun()) {
    m_begun_head = *m_attempt->head;
    NoteStreamBegun();
    m_exchange->Begin(m_begun_head->status, m_begun_head->reason,
                      m_context.wire.WriteResponse(*m_begun_head));
  }
}

void ForwardedRequest::NoteStreamBegun() {
  m_stream_version = m_attempt->version;
  if (ForwardsCompleteEvents() && m_context.note_stream_begun &&
      !FirstAttempt().IsEmpty()) {
    m_has_noted_stream = true;
    m_context.note_stream_begun(
        FirstAttempt(),
        StreamOrigin{.service = m_service, .version = *m_stream_version});
  }
}

const RequestId& ForwardedRequest::FirstAttempt() const {
  return ContinuesCallersStream() ? m_request.resumed_id : m_request.id;
}

bool ForwardedRequest::ContinuesBegunResponse() const {
  if (!m_begun_head) {
    return true;
  }
  const ResponseHead& head = *m_attempt->head;
  return head.status == m_begun_head->status &&
         ContentType(head) == ContentType(*m_begun_head);
}

AttemptOutcome ForwardedRequest::ClassifyOutcome(ResponseEnd end) const {
  const Attempt& attempt = *m_attempt;
  if (end == ResponseEnd::kNotConnected) {
    return AttemptOutcome::kNotSent;
  }
  if (attempt.head && (attempt.response.is_not_executed ||
                       attempt.head->status == kMisdirected)) {
    return AttemptOutcome::kRejected;
  }
  if (end != ResponseEnd::kComplete) {
    return AttemptOutcome::kUnknown;
  }
  if (attempt.head->status / 100 != 2) {
    return AttemptOutcome::kFailed;
  }
  if (!attempt.response.has_seal || attempt.response.is_encoded ||
      !ContinuesBegunResponse() || IsTruncatedStream()) {
    return AttemptOutcome::kUnknown;
  }
  return AttemptOutcome::kAnswered;
}

void ForwardedRequest::OnEnd(ResponseEnd end) {
  const boost::intrusive_ptr<ForwardedRequest> self_reference(this);
  const AttemptOutcome outcome = ClassifyOutcome(end);
  if (outcome == AttemptOutcome::kAnswered) {
    if (!IsStream() && !m_attempt->has_first_event) {
      OnFirstEvent();
    }
    ForwardResponse();
    return;
  }
  if (outcome == AttemptOutcome::kFailed) {
    NoteAnswered();
  }
  std::string detail;
  if (m_attempt->head) {
    detail = fmt::format("status {}", m_attempt->head->status);
  }
  switch (end) {
    case ResponseEnd::kComplete:
      detail += IsTruncatedStream() ? " truncated stream" : "";
      break;
    case ResponseEnd::kNotConnected:
      detail += "no connection";
      break;
    case ResponseEnd::kNoResponse:
      detail += "connection closed before a response";
      break;
    case ResponseEnd::kBrokenResponse:
      detail += " incomplete response";
      break;
    case ResponseEnd::kInvalidResponse:
      detail += " invalid response";
      break;
  }
  EndAttempt(outcome, detail, SuspicionAfter(end));
}

ForwardedRequest::CrashSuspicion ForwardedRequest::SuspicionAfter(
    ResponseEnd end) const {
  const Attempt& attempt = *m_attempt;
  const bool has_broken = end == ResponseEnd::kNoResponse ||
                          end == ResponseEnd::kBrokenResponse ||
                          IsTruncatedStream();
  if (!has_broken || !attempt.connection->has_sent() ||
      attempt.response.is_not_executed ||
      attempt.endpoint->entry().state != EndpointState::kLive ||
      (IsStream() && attempt.events > 0)) {
    return CrashSuspicion::kNone;
  }
  const bool is_about_to_begin = !m_request.shared_parts.empty() &&
                                 attempt.head &&
                                 attempt.head->status / 100 == 2 &&
                                 (IsStream() || attempt.body_bytes == 0);
  return is_about_to_begin ? CrashSuspicion::kAboutToBegin
                           : CrashSuspicion::kOpen;
}

void ForwardedRequest::ReportIfCrashed(const LiveEndpoint& endpoint) {
  const SocketAddress address = endpoint.entry().address;
  m_context.crash_checks.Check(
      m_context.loop, address, kCrashCheckTimeout,
      [&context = m_context, address, id = endpoint.entry().id,
       request = m_request.id, fingerprint = Fingerprint(),
       happened_at = m_context.clock.Now()] {
        LogEvent(edge_log::kWorkerCrashed,
                 {{"request", request.value()},
                  {"endpoint", id.value()},
                  {"address", FormatSocketAddress(address)},
                  {"parts", FormatPromptPart(fingerprint)},
                  {"known_sound", "no"}});
        context.metrics.CountWorkerCrash();
        context.quarantine.RecordCrash(
            context.random(),
            std::hash<std::string>()(FormatSocketAddress(address)),
            {fingerprint}, happened_at);
      });
}

void ForwardedRequest::ExecuteStepAfterCheck(const LiveEndpointPtr& endpoint,
                                             NextStep step,
                                             AttemptOutcome outcome) {
  const boost::intrusive_ptr<ForwardedRequest> self_reference(this);
  CheckIsListening(
      m_context.loop, endpoint->entry().address, kCrashCheckTimeout,
      [self_reference, endpoint, step, outcome](bool is_listening) {
        self_reference->OnCrashChecked(endpoint, is_listening, step, outcome);
      });
}

void ForwardedRequest::OnCrashChecked(const LiveEndpointPtr& endpoint,
                                      bool is_listening,
                                      NextStep step,
                                      AttemptOutcome outcome) {
  const std::vector<PromptPartId> parts = SuspectParts();
  bool may_retry = true;
  if (!is_listening) {
    may_retry = m_context.quarantine.AreKnownSound(m_request.shared_parts);
    LogEvent(edge_log::kWorkerCrashed,
             {{"request", m_request.id.value()},
              {"endpoint", endpoint->entry().id.value()},
              {"address", FormatSocketAddress(endpoint->entry().address)},
              {"parts", FormatPromptParts(parts)},
              {"known_sound", may_retry ? "yes" : "no"}});
    m_context.metrics.CountWorkerCrash();
    m_context.quarantine.RecordCrash(
        m_context.random(),
        std::hash<std::string>()(
            FormatSocketAddress(endpoint->entry().address)),
        parts, m_context.clock.Now());
  }
  if (m_is_ended) {
    return;
  }
  if (step == NextStep::kRetry && !may_retry) {
    step = m_exchange->has_begun() ? NextStep::kAbortResponse
                                   : NextStep::kReportUnknownOutcome;
  }
  ExecuteStep(step, outcome);
}

void ForwardedRequest::ForwardResponse() {
  if (IsStream()) {
    FinishStream();
    return;
  }
  Attempt& attempt = *m_attempt;
  RecordResponseTime();
  const int status = attempt.head->status;
  const HttpHeaders headers = m_context.wire.WriteResponse(*attempt.head);
  const std::optional<size_t> whole_size =
      attempt.head->framing == BodyFraming::kContentLength
          ? std::optional<size_t>(attempt.head->content_length)
          : std::nullopt;
  const std::string body = std::move(attempt.body);
  ReleaseAttempt(AttemptOutcome::kAnswered);
  const ServerExchangePtr exchange = m_exchange;
  End(status, "answered");
  if (exchange->head().method == "HEAD") {
    exchange->RespondWithoutBody(status, headers, whole_size);
    return;
  }
  exchange->Respond(status, headers, body);
}

void ForwardedRequest::RecordResponseTime() {
  m_context.response_times[m_route->name].Add(m_context.clock.Now() -
                                              m_started_at);
}

void ForwardedRequest::FinishStream() {
  Attempt& attempt = *m_attempt;
  if (!attempt.has_first_event && !m_splitter.incomplete_event().empty()) {
    OnFirstEvent();
  }
  BeginResponse();
  if (ForwardsCompleteEvents()) {
    m_exchange->SendChunk(m_splitter.incomplete_event());
  }
  RecordResponseTime();
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
  size_t reserved_bytes = attempt.reserved_bytes;
  m_context.buffers.Release(reserved_bytes);
  OutstandingWork& work = attempt.endpoint->own_work;
  work.requests -= std::min(work.requests, attempt.work.requests);
  work.pending_prompt_tokens = std::max(
      0.0, work.pending_prompt_tokens - attempt.work.pending_prompt_tokens);
  work.context_tokens =
      std::max(0.0, work.context_tokens - attempt.work.context_tokens);
  attempt.endpoint->connections.Release(attempt.connection,
                                        attempt.response.idle_timeout, now);
  if (outcome) {
    RecordRolloutResult(attempt, *outcome);
    attempt.endpoint->health.Record(ResponseQualityOf(*outcome), now);
  } else if (!attempt.head &&
             now - attempt.started_at > m_route->latency_target) {
    // The caller disconnected without a response for longer than the latency
    // target, which counts against the endpoint.
    attempt.endpoint->health.Record(ResponseQuality::kBroken, now);
  }
  m_context.metrics.CountAttempt(outcome ? std::string(OutcomeName(*outcome))
                                         : "cancelled");
}

void ForwardedRequest::RecordRolloutResult(const Attempt& attempt,
                                           AttemptOutcome outcome) {
  const bool says_nothing =
      attempt.is_abandoned || WasNotExecuted(outcome) ||
      (outcome == AttemptOutcome::kFailed && IsPromise(attempt.head->status) &&
       attempt.head->status / 100 == 4);
  if (says_nothing) {
    return;
  }
  RolloutResult result{.milliseconds = attempt.first_event_ms};
  if (outcome == AttemptOutcome::kAnswered) {
    result.is_good = true;
  } else if (outcome == AttemptOutcome::kFailed &&
             attempt.head->status / 100 != 5) {
    // The request's own fault.
    result.is_good = true;
    result.milliseconds = MillisecondsSince(attempt.started_at);
  }
  m_has_failed_at_target |= !result.is_good && m_context.rollouts.IsTarget(
                                                   m_service, attempt.version);
  m_context.rollouts.RecordResult(m_service, m_route->name, attempt.version,
                                  result, m_context.clock.Now(),
                                  attempt.endpoint->key());
  CountRollout(attempt.version, result.is_good ? "good" : "bad");
}

void ForwardedRequest::CountRollout(const SoftwareVersion& version,
                                    const std::string& result) {
  const RolloutNode& rollouts = m_context.rollouts;
  if (rollouts.revision() == 0 ||
      rollouts.RuleFor(m_service, 0.0, m_context.clock.Now()).side ==
          VersionRule::Side::kAny) {
    return;
  }
  m_context.metrics.CountRollout(
      m_service.value(),
      rollouts.IsTarget(m_service, version) ? "target" : "old", result);
}

NextStep ForwardedRequest::NextStepAfter(AttemptOutcome outcome) {
  const Duration minimum_time = m_route->latency_target / kMinimumTimeDivisor;
  // A stream that is resumed does not begin anew.
  const Duration elapsed = m_exchange->has_begun()
                               ? m_context.clock.Now() - m_started_at
                               : Duration::zero();
  const Duration remaining_time = ExpectedTime(elapsed);
  // The endpoint rejected the request as invalid, and so would any other.
  const bool is_client_error =
      outcome == AttemptOutcome::kFailed && m_attempt->head->status / 100 == 4;
  return DecideNextStep(
      outcome,
      RetryContext{
          .kind = m_route->kind,
          .is_resumable = m_route->is_resumable && m_splitter.can_resume(),
          .maximum_attempts = m_route->maximum_attempts,
          .executions =
              WasNotExecuted(outcome) ? m_executions - 1 : m_executions,
          .sends = m_sends,
          .has_started_response = m_exchange->has_begun(),
          .has_budget =
              !is_client_error &&
              m_context.retry_budgets[m_service].CanRetry(
                  m_context.retry_budget_config, m_context.clock.Now()),
          .has_time = TimeLeft() > minimum_time &&
                      CanCompleteBeforeStop(
                          std::max<Duration>(minimum_time, remaining_time))});
}

void ForwardedRequest::EndAttempt(AttemptOutcome outcome,
                                  std::string_view detail,
                                  CrashSuspicion suspicion) {
  const Attempt attempt = *m_attempt;
  LogEvent(
      edge_log::kAttemptEnded,
      {{"request", m_request.id.value()},
       {"endpoint", attempt.endpoint->entry().id.value()},
       {"outcome", std::string(OutcomeName(outcome))},
       {"detail", std::string(detail)},
       {"connection", attempt.is_new_connection ? "new" : "kept"},
       {"events", std::to_string(attempt.events)},
       {"body_bytes", std::to_string(attempt.body_bytes)},
       {"parts", FormatPromptParts(m_request.shared_parts)},
       {"fingerprint", outcome == AttemptOutcome::kUnknown
                           ? FormatPromptPart(Fingerprint())
                           : "-"},
       {"ms", fmt::format("{:.0f}", MillisecondsSince(attempt.started_at))}});
  NextStep step = NextStepAfter(outcome);
  ReleaseAttempt(outcome);
  m_splitter.DiscardIncompleteEvent();
  if (WasNotExecuted(outcome)) {
    --m_executions;
  } else {
    m_may_have_executed = true;
  }
  if (step == NextStep::kForwardFailure && !IsPromise(attempt.head->status)) {
    const HttpHeaders headers = m_context.wire.WriteResponse(*attempt.head);
    const ServerExchangePtr exchange = m_exchange;
    End(attempt.head->status, "endpoint_failed");
    exchange->Respond(attempt.head->status, headers, attempt.body);
    return;
  }
  switch (suspicion) {
    case CrashSuspicion::kNone:
      break;
    case CrashSuspicion::kAboutToBegin:
      ExecuteStepAfterCheck(attempt.endpoint, step, outcome);
      return;
    case CrashSuspicion::kOpen:
      if (step == NextStep::kRetry &&
          m_context.quarantine.NeedsFingerprints() &&
          m_context.quarantine.IsSuspect(Fingerprint())) {
        step = m_exchange->has_begun() ? NextStep::kAbortResponse
                                       : NextStep::kReportUnknownOutcome;
      }
      ReportIfCrashed(*attempt.endpoint);
      break;
  }
  ExecuteStep(step, outcome);
}

void ForwardedRequest::ExecuteStep(NextStep step, AttemptOutcome outcome) {
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
      RespondUnknownOutcome(502, "outcome_unknown");
      return;
    case NextStep::kAbortResponse: {
      const ServerExchangePtr exchange = m_exchange;
      End(502, "stream_broken");
      exchange->Abort();
      return;
    }
  }
}

std::optional<TimePoint> ForwardedRequest::StallDeadline() const {
  const Attempt& attempt = *m_attempt;
  if (!attempt.connection->is_connected()) {
    return attempt.started_at + kConnectTimeout;
  }
  if (IsStream()) {
    if (!m_route->is_resumable) {
      return std::nullopt;
    }
    if (!attempt.has_first_event) {
      return attempt.started_at +
             kFirstEventStallFactor * m_route->latency_target;
    }
    return attempt.progress_at + kGapStallFactor * m_route->gap_target;
  }
  if (m_route->kind == RouteKind::kIdempotent) {
    return attempt.started_at + kCallStallFactor * m_route->latency_target;
  }
  return std::nullopt;
}

void ForwardedRequest::ScheduleProgressCheck() {
  m_context.loop.Cancel(m_timer);
  const Duration wait =
      std::clamp<Duration>(TimeLeft(), milliseconds(1), kCheckInterval);
  m_timer = m_context.loop.Schedule(wait, [this] { CheckProgress(); });
}

void ForwardedRequest::CheckProgress() {
  const boost::intrusive_ptr<ForwardedRequest> self_reference(this);
  m_timer = 0;
  const TimePoint now = m_context.clock.Now();
  if (!m_attempt) {
    return;
  }
  if (m_exchange->unsent_bytes() <= kMaximumUnsentBytes) {
    m_attempt->connection->SetReading(true);
  }
  if (!m_attempt->has_first_event && !m_is_probe &&
      m_context.quarantine.quarantined_count() > 0 &&
      m_context.quarantine.IsQuarantined(SuspectParts())) {
    // NOTE: Most workers drop a waiting request when its connection closes, so
    // that it cannot crash them.
    m_attempt->is_abandoned = true;
    CutOffAttempt("prompt quarantined");
    return;
  }
  if (!m_attempt->connection->has_sent() &&
      IsVersionForbidden(m_attempt->version)) {
    m_attempt->connection->Close();
    EndAttempt(AttemptOutcome::kNotSent, "version rolled back");
    return;
  }
  const bool is_past_deadline = now >= m_deadline;
  const std::optional<TimePoint> stall_deadline = StallDeadline();
  if (!is_past_deadline && (!stall_deadline || now < *stall_deadline)) {
    ScheduleProgressCheck();
    return;
  }
  const bool has_sent = m_attempt->connection->has_sent();
  const AttemptOutcome outcome =
      has_sent ? AttemptOutcome::kUnknown : AttemptOutcome::kNotSent;
  const bool has_other_endpoint =
      !m_stream_version ||
      (m_context.endpoints.HasVersion(m_service, *m_stream_version) &&
       !IsVersionForbidden(*m_stream_version));
  if (!is_past_deadline &&
      (!has_other_endpoint || NextStepAfter(outcome) != NextStep::kRetry)) {
    // NOTE: A stalled endpoint may still respond, so without a possible retry
    // the attempt continues until the deadline.
    ScheduleProgressCheck();
    return;
  }
  m_attempt->connection->Close();
  EndAttempt(outcome, is_past_deadline ? "deadline exceeded" : "no progress");
}

}  // namespace pistachiowalk
