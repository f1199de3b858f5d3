#include "edge/forwarded_request.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/event_log.h"
#include "duty/usage_ledger.h"
#include "edge/edge_log_events.h"
#include "edge/edge_metrics.h"
#include "following/cluster_time.h"
#include "http1/message_writer.h"
#include "net/event_loop.h"
#include "rollout/rollout_node.h"
#include "serving/admit_request.h"
#include "serving/customer_limits.h"
#include "serving/prompt_quarantine.h"
#include "serving/request_fingerprint.h"
#include "serving/stop_plan.h"
#include "serving/worker_limits.h"
#include "upstream/endpoint_registry.h"

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;

// A starting node knows config and endpoints within about 60 ms; a request
// waits for them this long.
constexpr Duration kStartupWait = milliseconds(250);
constexpr Duration kStartupPollInterval = milliseconds(15);
// Retry-After of refusals without a better estimate.
constexpr Duration kStartupRetryAfter = milliseconds(400);
constexpr Duration kConfigBehindRetryAfter = milliseconds(800);
constexpr Duration kNoEndpointRetryAfter = milliseconds(500);
constexpr Duration kBusyRetryAfter = milliseconds(200);
constexpr Duration kMaximumLimitRetryAfter = milliseconds(1500);
// Statuses of responses that do not come from an endpoint.
// Tells callers not to repeat the request.
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// Assumed share of a request's maximum output tokens that is generated: callers
// ask for more than they get, so the maximum is rarely reached.
constexpr double kExpectedOutputShare = 0.6;

std::string FormatMilliseconds(double value) {
  return fmt::format("{:.0f}", value);
}

}  // namespace

ForwardedRequest::ForwardedRequest(EdgeContext& context,
                                   ServerExchangePtr exchange)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_started_at(context.clock.Now()) {}

ForwardedRequest::~ForwardedRequest() = default;

void ForwardedRequest::Start() {
  m_self = this;
  ++m_context.open_requests;
  m_context.open_request_list.push_back(*this);
  m_exchange->SetDisconnectHandler([this] { OnCallerDisconnected(); });
  StartWhenReady();
}

void ForwardedRequest::StartWhenReady() {
  const bool is_ready = m_context.config != nullptr &&
                        m_context.are_endpoints_known &&
                        m_context.are_rollouts_known;
  if (!is_ready && !m_context.is_shutting_down &&
      m_context.clock.Now() - m_started_at < kStartupWait) {
    m_timer = m_context.loop.Schedule(kStartupPollInterval,
                                      [this] { StartWhenReady(); });
    return;
  }
  if (!FindRouteAndCustomer() || !AcquireLimit()) {
    return;
  }
  if (ContinuesCallersStream()) {
    FindStreamOrigin();
    return;
  }
  PlaceAt(ChooseTarget(*m_route, std::uniform_real_distribution<double>(
                                     0.0, 1.0)(m_context.random)));
}

bool ForwardedRequest::ContinuesCallersStream() const {
  return ForwardsCompleteEvents() && !m_request.last_event_id.empty();
}

void ForwardedRequest::FindStreamOrigin() {
  if (m_request.resumed_id.IsEmpty() || !m_context.find_stream_origin) {
    OnStreamOrigin(std::nullopt);
    return;
  }
  const boost::intrusive_ptr<ForwardedRequest> self_reference(this);
  m_context.find_stream_origin(
      m_request.resumed_id,
      [self_reference](const std::optional<StreamOrigin>& known) {
        if (!self_reference->m_is_ended) {
          self_reference->OnStreamOrigin(known);
        }
      });
}

void ForwardedRequest::OnStreamOrigin(
    const std::optional<StreamOrigin>& known) {
  if (known) {
    TakeUp(known, OriginSource::kNode);
    return;
  }
  if (!OnlyOrigin() || !m_context.refresh_list) {
    TakeUp(std::nullopt, OriginSource::kNone);
    return;
  }
  // NOTE: The stream began before this request came, so a list that is complete
  // up to now shows the version that began it.
  const boost::intrusive_ptr<ForwardedRequest> self_reference(this);
  m_context.refresh_list([self_reference](bool is_complete) {
    if (!self_reference->m_is_ended) {
      self_reference->OnListRefreshed(is_complete);
    }
  });
}

void ForwardedRequest::OnListRefreshed(bool is_complete) {
  if (!is_complete) {
    TakeUp(std::nullopt, OriginSource::kUnconfirmed);
    return;
  }
  const std::optional<StreamOrigin> origin = OnlyOrigin();
  TakeUp(origin, origin ? OriginSource::kOnlyVersion : OriginSource::kNone);
}

std::optional<StreamOrigin> ForwardedRequest::OnlyOrigin() const {
  if (m_route->targets.size() != 1 || !m_context.only_version) {
    return std::nullopt;
  }
  const ServiceName& service = m_route->targets.front().service;
  const std::optional<SoftwareVersion> version =
      m_context.only_version(service);
  if (!version) {
    return std::nullopt;
  }
  return StreamOrigin{.service = service, .version = *version};
}

std::string_view ForwardedRequest::ToString(OriginSource source) {
  switch (source) {
    case OriginSource::kNode:
      return "node";
    case OriginSource::kOnlyVersion:
      return "only_version";
    case OriginSource::kUnconfirmed:
      return "unconfirmed";
    case OriginSource::kNone:
      return "none";
  }
  return "";
}

void ForwardedRequest::TakeUp(const std::optional<StreamOrigin>& origin,
                              OriginSource source) {
  LogEvent(edge_log::kStreamTakenUp,
           {{"request", m_request.id.value()},
            {"resumes", m_request.resumed_id.value()},
            {"after", m_request.last_event_id},
            {"service", origin ? origin->service.value() : "-"},
            {"version", origin ? origin->version.value() : "-"},
            {"source", std::string(ToString(source))}});
  if (!origin) {
    // NOTE: Without a Retry-After if coming back would not help.
    const bool may_learn =
        source == OriginSource::kUnconfirmed ||
        (m_context.may_learn_origins && m_context.may_learn_origins());
    Refuse(kUnavailable, "stream_unknown",
           may_learn ? kStartupRetryAfter : Duration::zero());
    return;
  }
  const bool is_routed =
      std::any_of(m_route->targets.begin(), m_route->targets.end(),
                  [&](const RouteTarget& target) {
                    return target.service == origin->service;
                  });
  m_service = origin->service;
  if (!is_routed ||
      !m_context.endpoints.HasVersion(origin->service, origin->version) ||
      IsVersionForbidden(origin->version)) {
    Refuse(kUnavailable, "stream_version_gone", Duration::zero());
    return;
  }
  m_stream_version = origin->version;
  PlaceAt(origin->service);
}

void ForwardedRequest::PlaceAt(ServiceName service) {
  m_service = std::move(service);
  const auto spec = m_config->services.find(m_service);
  m_has_engine =
      spec != m_config->services.end() && spec->second.engine.has_value();
  if (m_has_engine) {
    const EngineSpec& engine = *spec->second.engine;
    m_transfer =
        MakePrefixTransfer(engine.cache_bytes_per_token, engine.link_megabits);
  }
  Place();
}

bool ForwardedRequest::FindRouteAndCustomer() {
  m_request = m_context.wire.ReadRequest(m_exchange->head());
  m_config = m_context.config;
  if (m_context.is_shutting_down) {
    Refuse(kUnavailable, "stopping", kShutdownRetryAfter);
    return false;
  }
  if (!m_config) {
    Refuse(kUnavailable, "no_config", kStartupRetryAfter);
    return false;
  }
  if (m_context.is_config_late && m_context.is_config_late()) {
    Refuse(kUnavailable, "config_late", kConfigBehindRetryAfter);
    return false;
  }
  m_route = FindRoute(*m_config, m_request.host, m_request.path);
  if (m_route == nullptr || m_route->targets.empty()) {
    RefuseUnknown(kNotFound, "no_route");
    return false;
  }
  m_priority = m_route->priority;
  if (!m_config->customers.empty() && !m_route->is_public) {
    const CustomerSpec* customer = FindCustomer(*m_config, m_request.api_key);
    if (customer == nullptr) {
      RefuseUnknown(kUnauthorized, "unknown_key");
      return false;
    }
    m_customer = customer->name;
    m_priority = customer->priority.value_or(m_priority);
  }
  const milliseconds limit =
      m_request.time_left ? std::min(*m_request.time_left, m_route->timeout)
                          : m_route->timeout;
  m_deadline = m_started_at + limit;
  return true;
}

void ForwardedRequest::RefuseUnknown(int status, std::string_view cause) {
  if (m_context.is_config_behind && m_context.is_config_behind()) {
    Refuse(kUnavailable, "config_behind", kConfigBehindRetryAfter);
    return;
  }
  Refuse(status, cause, Duration::zero());
}

bool ForwardedRequest::AcquireLimit() {
  const auto customer = m_config->customers.find(m_customer);
  if (customer == m_config->customers.end()) {
    return true;
  }
  const CustomerSpec& spec = customer->second;
  double amount = 1.0;
  if (spec.counts_tokens) {
    amount = m_request.tokens
                 ? double(m_request.tokens->first) + m_request.tokens->second
                 : spec.default_tokens;
  }
  const LimitDecision decision = m_context.limits.TryAcquire(
      m_customer,
      CustomerLimit{.rate_per_second = spec.rate_per_second,
                    .burst = spec.burst},
      amount, m_started_at);
  if (!decision.is_within) {
    LogEvent(edge_log::kLimitReached,
             {{"request", m_request.id.value()},
              {"customer", m_customer.value()},
              {"amount", fmt::format("{:.0f}", amount)},
              {"own_use", fmt::format("{:.0f}", decision.own_usage)},
              {"others_use", fmt::format("{:.0f}", decision.others_usage)},
              {"own_allowed", fmt::format("{:.0f}", decision.own_allowed)},
              {"rate", fmt::format("{:.0f}", spec.rate_per_second)},
              {"burst", fmt::format("{:.0f}", spec.burst)}});
    Refuse(kTooManyRequests, "over_limit", decision.retry_after);
    return false;
  }
  m_limit_amount = amount;
  return true;
}

PlacementRequest ForwardedRequest::DescribeForPlacement() const {
  PlacementRequest placement{
      .request_bytes = static_cast<double>(m_exchange->body().size())};
  if (!m_has_engine || !m_request.tokens) {
    return placement;
  }
  placement.transfer = m_transfer;
  placement.prompt_tokens = std::max(1.0, double(m_request.tokens->first));
  placement.output_tokens =
      m_request.expected_output_tokens > 0
          ? m_request.expected_output_tokens
          : m_request.tokens->second * kExpectedOutputShare;
  if (!m_request.prompt.empty()) {
    placement.unshared_tokens = m_request.prompt.back().tokens;
    // The last block is the request's own, so the hash of the one before it
    // identifies the shared prefix.
    const size_t shared = m_request.prompt.size() - 1;
    placement.affinity = shared > 0 ? m_request.prompt[shared - 1].hash : 0;
  }
  return placement;
}

PromptPartId ForwardedRequest::Fingerprint() {
  if (!m_fingerprint) {
    const RequestHead& head = m_exchange->head();
    m_fingerprint =
        FingerprintRequest(RequestIdentity{.customer = m_customer.value(),
                                           .method = head.method,
                                           .host = m_request.host,
                                           .target = head.target,
                                           .body = m_exchange->body()});
  }
  return *m_fingerprint;
}

std::vector<PromptPartId> ForwardedRequest::SuspectParts() {
  std::vector<PromptPartId> parts = {Fingerprint()};
  parts.insert(parts.end(), m_request.shared_parts.begin(),
               m_request.shared_parts.end());
  return parts;
}

bool ForwardedRequest::IsQuarantined() {
  PromptQuarantine& quarantine = m_context.quarantine;
  if (quarantine.quarantined_count() == 0) {
    return false;
  }
  const std::vector<PromptPartId> parts = SuspectParts();
  if (!quarantine.IsQuarantined(parts)) {
    return false;
  }
  const bool may_probe =
      !m_is_probe && m_context.may_probe && m_context.may_probe();
  if (!may_probe || !quarantine.TryProbe(parts, m_context.clock.Now())) {
    return true;
  }
  m_is_probe = true;
  LogEvent(edge_log::kPromptProbed, {{"request", m_request.id.value()},
                                     {"parts", FormatPromptParts(parts)}});
  return false;
}

void ForwardedRequest::RefuseQuarantined() {
  const bool is_prompt =
      m_context.quarantine.IsQuarantined(m_request.shared_parts);
  EndUnanswered(kBadRequest,
                is_prompt ? "prompt_quarantined" : "request_quarantined",
                Duration::zero());
}

VersionRule ForwardedRequest::CurrentVersionRule() {
  RolloutNode& rollouts = m_context.rollouts;
  if (rollouts.revision() == 0) {
    return {};
  }
  if (m_stream_version) {
    return StreamVersionRule(*m_stream_version);
  }
  if (!m_version_draw) {
    m_version_draw =
        std::uniform_real_distribution<double>(0.0, 1.0)(m_context.random);
  }
  return rollouts.RuleFor(m_service, *m_version_draw, m_context.clock.Now(),
                          m_route->name);
}

VersionRule ForwardedRequest::StreamVersionRule(
    const SoftwareVersion& version) const {
  const RolloutNode& rollouts = m_context.rollouts;
  if (rollouts.revision() == 0) {
    return {};
  }
  // NOTE: With the least draw, the target is allowed as long as any request may
  // go there.
  VersionRule rule =
      rollouts.RuleFor(m_service, 0.0, m_context.clock.Now(), m_route->name);
  if (rollouts.IsTarget(m_service, version)) {
    return rule;
  }
  return VersionRule{.barred = std::move(rule.barred)};
}

bool ForwardedRequest::IsVersionForbidden(
    const SoftwareVersion& version) const {
  VersionRule rule = StreamVersionRule(version);
  rule.endpoint_share = 1.0;
  return !IsAllowed(rule, version, 0, false);
}

std::vector<PlacementCandidate> ForwardedRequest::FindCandidates(
    const VersionRule& rule,
    bool falls_back,
    TimePoint now) {
  const uint64_t cache_tokens =
      m_has_engine
          ? m_config->services.find(m_service)->second.engine->cache_tokens
          : 0;
  return m_context.endpoints.Candidates(
      CandidateQuery{.service = m_service,
                     .version = m_stream_version,
                     .version_rule = rule,
                     .falls_back = falls_back,
                     .data_center = m_context.data_center,
                     .regions = m_context.regions,
                     .avoid = m_tried_endpoints,
                     .prompt = m_request.prompt,
                     .cache_tokens = cache_tokens,
                     .now = now});
}

void ForwardedRequest::Place() {
  if (IsQuarantined()) {
    RefuseQuarantined();
    return;
  }
  const TimePoint now = m_context.clock.Now();
  const VersionRule rule = CurrentVersionRule();
  const bool is_target_first = rule.side == VersionRule::Side::kTargetFirst;
  // A request that the target has failed is repeated at the old versions.
  const bool is_old_first =
      is_target_first && m_has_failed_at_target && !m_stream_version;
  VersionRule first_rule = rule;
  if (is_old_first) {
    first_rule.side = VersionRule::Side::kOldVersions;
  }
  std::vector<PlacementCandidate> candidates =
      FindCandidates(first_rule, false, now);
  const auto place = [&] {
    return PlaceRequest(
        DescribeForPlacement(), candidates,
        EstimateSpeed(m_context.first_events[m_service]),
        std::uniform_real_distribution<double>(0.0, 1.0)(m_context.random),
        now);
  };
  std::optional<Placement> placement = place();
  if (!placement && is_target_first) {
    candidates = FindCandidates(rule, !is_old_first, now);
    placement = place();
  }
  if (m_has_engine && m_sends == 0) {
    // NOTE: Requests without a free endpoint count as demand for workers too.
    m_context.demand[m_service].Add(placement
                                        ? placement->uncached_tokens
                                        : DescribeForPlacement().prompt_tokens,
                                    now);
    m_context.demanded_requests[m_service].Add(1.0, now);
  }
  if (!placement) {
    if (m_exchange->has_begun()) {
      ExecuteStep(NextStep::kAbortResponse, AttemptOutcome::kNotSent);
    } else if (m_may_have_executed) {
      RespondUnknownOutcome(502, "no_endpoint_left");
    } else {
      RefuseUnplaced(candidates);
    }
    return;
  }
  if (m_sends == 0 && !CanCompleteBeforeStop(ExpectedTime(Duration::zero()))) {
    Refuse(kUnavailable, "stopping", kShutdownRetryAfter);
    return;
  }
  if (m_sends == 0 && !Admit(*placement)) {
    return;
  }
  StartAttempt(*placement);
}

void ForwardedRequest::RefuseUnplaced(
    const std::vector<PlacementCandidate>& candidates) {
  if (candidates.empty()) {
    Refuse(kUnavailable,
           m_context.endpoints.IsListConfirmed(m_context.clock.Now())
               ? "no_endpoint"
               : "endpoints_unconfirmed",
           kNoEndpointRetryAfter);
    return;
  }
  std::optional<Duration> until_send;
  bool has_pause = false;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.pause > Duration::zero()) {
      has_pause = true;
      until_send =
          std::min(until_send.value_or(candidate.pause), candidate.pause);
    }
    if (candidate.has_reached_limit) {
      const Duration until =
          m_context.worker_limits
              .TimeUntilSend(candidate.key, m_context.clock.Now())
              .value_or(kMaximumLimitRetryAfter);
      until_send = std::min(until_send.value_or(until), until);
    }
  }
  if (!until_send) {
    Refuse(kUnavailable, "no_connection_free", kBusyRetryAfter);
    return;
  }
  Refuse(kUnavailable, has_pause ? "workers_paused" : "worker_limits",
         std::clamp(*until_send, kBusyRetryAfter, kMaximumLimitRetryAfter));
}

bool ForwardedRequest::Admit(const Placement& placement) {
  const TimePoint now = m_context.clock.Now();
  const double lean = m_context.competition.Lean(m_service, m_customer, now);
  const AdmissionResult admission = AdmitRequest(AdmissionInput{
      .expected_ms = placement.first_event.total_ms,
      .queued_ms = placement.first_event.queued_ms,
      .target_ms = static_cast<double>(m_route->latency_target.count()),
      .time_left_ms =
          std::chrono::duration<double, std::milli>(m_deadline - now).count(),
      .priority = m_priority,
      .share_lean = lean,
      .draw =
          std::uniform_real_distribution<double>(0.0, 1.0)(m_context.random)});
  if (!m_customer.IsEmpty()) {
    m_context.competition.Record(m_service, m_customer, m_limit_amount,
                                 admission.is_admitted, now);
  }
  if (admission.is_admitted) {
    return true;
  }
  LogEvent(edge_log::kPlaced,
           {{"request", m_request.id.value()},
            {"endpoint", placement.id.value()},
            {"expected_ms", FormatMilliseconds(placement.first_event.total_ms)},
            {"queued_ms", FormatMilliseconds(placement.first_event.queued_ms)},
            {"target_ms", std::to_string(m_route->latency_target.count())},
            {"priority", std::to_string(m_priority)},
            {"lean", fmt::format("{:.2f}", lean)},
            {"admitted", "no"}});
  Refuse(kUnavailable, "overloaded", admission.retry_after);
  return false;
}

Duration ForwardedRequest::ExpectedTime(Duration elapsed) const {
  const auto times = m_context.response_times.find(m_route->name);
  const Duration whole = times == m_context.response_times.end()
                             ? m_route->latency_target
                             : times->second.Expected(m_route->latency_target);
  return std::max(whole - elapsed, Duration::zero());
}

bool ForwardedRequest::CanCompleteBeforeStop(Duration time) const {
  return !m_context.stops_at ||
         m_context.clock.Now() + std::min(time, TimeLeft()) <=
             *m_context.stops_at;
}

double ForwardedRequest::MillisecondsSince(TimePoint since) const {
  return std::chrono::duration<double, std::milli>(m_context.clock.Now() -
                                                   since)
      .count();
}

Duration ForwardedRequest::TimeLeft() const {
  return m_deadline - m_context.clock.Now();
}

void ForwardedRequest::Refuse(int status,
                              std::string_view cause,
                              Duration retry_after) {
  HttpHeaders headers;
  if (retry_after > Duration::zero()) {
    headers.push_back(RetryAfterHeader(retry_after));
  }
  if (m_limit_amount > 0.0) {
    m_context.limits.Refund(m_customer, m_limit_amount, m_context.clock.Now());
  }
  const ServerExchangePtr exchange = m_exchange;
  const boost::intrusive_ptr<ForwardedRequest> self_reference(this);
  End(status, cause);
  exchange->Respond(status, headers, "");
}

void ForwardedRequest::RespondUnknownOutcome(int status,
                                             std::string_view cause) {
  const ServerExchangePtr exchange = m_exchange;
  const boost::intrusive_ptr<ForwardedRequest> self_reference(this);
  End(status, cause);
  exchange->Respond(status, {}, "");
}

void ForwardedRequest::EndUnanswered(int status,
                                     std::string_view cause,
                                     Duration retry_after) {
  constexpr int kBadGateway = 502;
  if (m_exchange->has_begun()) {
    const ServerExchangePtr exchange = m_exchange;
    End(kBadGateway, cause);
    exchange->Abort();
  } else if (m_may_have_executed) {
    RespondUnknownOutcome(kBadGateway, cause);
  } else {
    Refuse(status, cause, retry_after);
  }
}

void ForwardedRequest::End(int status, std::string_view cause) {
  if (m_is_ended) {
    return;
  }
  m_is_ended = true;
  --m_context.open_requests;
  unlink();
  m_context.loop.Cancel(m_timer);
  m_exchange->SetDisconnectHandler(nullptr);
  if (m_has_noted_stream && m_context.note_stream_ended) {
    m_context.note_stream_ended(FirstAttempt(), status / 100 == 2);
  }
  const double elapsed = MillisecondsSince(m_started_at);
  m_context.metrics.CountEnded(std::string(cause), status);
  if (status / 100 == 2) {
    m_context.metrics.ObserveResponse(elapsed / 1000.0);
  }
  LogEvent(edge_log::kForwardedEnded,
           {{"request", m_request.id.value()},
            {"route", m_route == nullptr ? "" : m_route->name},
            {"service", m_service.value()},
            {"customer", m_customer.value()},
            {"amount", fmt::format("{:.0f}", m_limit_amount)},
            {"status", std::to_string(status)},
            {"cause", std::string(cause)},
            {"sends", std::to_string(m_sends)},
            {"endpoint",
             m_tried_endpoints.empty() ? "" : m_tried_endpoints.back().value()},
            {"first_event_ms",
             m_first_event_ms ? FormatMilliseconds(*m_first_event_ms) : "-"},
            {"ms", FormatMilliseconds(elapsed)},
            {"config", m_config ? std::to_string(m_config->version) : "-"},
            {"config_revision", std::to_string(m_context.config_revision)}});
  // NOTE: Frees this object when the last other reference is released.
  const boost::intrusive_ptr<ForwardedRequest> self = std::move(m_self);
}

void ForwardedRequest::CancelAttempt(std::string_view detail) {
  if (!m_attempt) {
    return;
  }
  LogEvent(
      edge_log::kAttemptEnded,
      {{"request", m_request.id.value()},
       {"endpoint", m_attempt->endpoint->entry().id.value()},
       {"outcome", "cancelled"},
       {"detail", std::string(detail)},
       {"ms", FormatMilliseconds(MillisecondsSince(m_attempt->started_at))}});
  m_may_have_executed |= m_attempt->connection->has_sent();
  m_attempt->connection->Close();
  ReleaseAttempt(std::nullopt);
}

void ForwardedRequest::EndForStop() {
  const boost::intrusive_ptr<ForwardedRequest> self_reference(this);
  CancelAttempt("the node stops");
  EndUnanswered(kUnavailable, "stopped", kShutdownRetryAfter);
}

void ForwardedRequest::OnCallerDisconnected() {
  const boost::intrusive_ptr<ForwardedRequest> self_reference(this);
  CancelAttempt("the caller closed its connection");
  // 499 appears only in logs and metrics; the caller has disconnected.
  End(499, "caller_gone");
}

}  // namespace pistachiowalk
