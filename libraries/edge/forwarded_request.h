#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "edge/edge_context.h"
#include "edge/open_request.h"
#include "edge/wire_format.h"
#include "http1/client_connection.h"
#include "http1/server_connection.h"
#include "rollout/version_rule.h"
#include "serving/attempt_policy.h"
#include "serving/event_stream_splitter.h"
#include "serving/place_request.h"
#include "serving/serving_config.h"
#include "upstream/live_endpoint.h"

namespace pistachiowalk {

// Forwards one caller's request to endpoints and their response to the caller.
// Keeps itself alive until the outcome is final.
class ForwardedRequest final
    : public boost::intrusive_ref_counter<ForwardedRequest,
                                          boost::thread_unsafe_counter>,
      private OpenRequest {
 public:
  ForwardedRequest(EdgeContext& context, ServerExchangePtr exchange);
  ~ForwardedRequest();
  ForwardedRequest(const ForwardedRequest&) = delete;
  ForwardedRequest& operator=(const ForwardedRequest&) = delete;

  // Routes the request at once, or on a starting node as soon as the config and
  // the endpoints are known.
  void Start();

 private:
  // One transmission of the request to one endpoint.
  struct Attempt {
    LiveEndpointPtr endpoint;
    // Of the endpoint when the attempt was sent.
    SoftwareVersion version;
    // Time to the first event or the response, in milliseconds.
    std::optional<double> first_event_ms;
    // This node ended the attempt, for no fault of the endpoint.
    bool is_abandoned = false;
    ClientConnectionPtr connection;
    bool is_new_connection = false;
    TimePoint started_at{};
    TimePoint progress_at{};
    FirstEventEstimate expected_first_event;
    // The outstanding work added to the endpoint for this attempt.
    OutstandingWork work;
    bool has_first_event = false;
    // Reading was paused for a slow caller since the last event, which says
    // nothing of the endpoint.
    bool has_paused_reading = false;
    // Bytes of the response's body and complete events received.
    uint64_t body_bytes = 0;
    uint64_t events = 0;
    // The head of the response and its metadata.
    std::optional<ResponseHead> head;
    EndpointResponse response;
    std::string body;
    // Reserved in EdgeContext::buffers.
    size_t reserved_bytes = 0;
  };

  void StartWhenReady();
  // Admission steps, in this order. A result of false means that the request
  // was refused.
  bool FindRouteAndCustomer();
  // Refuses a request that the config in force does not allow; one that a newer
  // config may allow is told to come back.
  void RefuseUnknown(int status, std::string_view cause);
  bool AcquireLimit();
  // Whether the caller goes on with a stream of which it has events.
  bool ContinuesCallersStream() const;
  // The caller's attempt that brought the first event of the stream.
  const RequestId& FirstAttempt() const;
  // Places the request once the origin of the caller's stream is known.
  void FindStreamOrigin();
  void OnStreamOrigin(const std::optional<StreamOrigin>& known);
  void OnListRefreshed(bool is_complete);
  // Of all streams of the route, if one version alone can have begun them.
  std::optional<StreamOrigin> OnlyOrigin() const;
  // How the origin of a caller's stream is known, or why it is not.
  enum class OriginSource : uint8_t {
    // A node was told of it.
    kNode,
    // One version alone can have begun it.
    kOnlyVersion,
    // As kOnlyVersion, but the store did not confirm the list in time.
    kUnconfirmed,
    kNone,
  };
  static std::string_view ToString(OriginSource source);
  // Goes on with the caller's stream, or refuses the request if its origin is
  // not known.
  void TakeUp(const std::optional<StreamOrigin>& origin, OriginSource source);
  void PlaceAt(ServiceName service);
  void Place();
  // The rule of the service's roll-out for this request, or for the stream that
  // it goes on with.
  VersionRule CurrentVersionRule();
  // The rule for going on with a stream that a worker of this version began.
  VersionRule StreamVersionRule(const SoftwareVersion& version) const;
  // Whether a roll-out forbids sending to any worker of this version now.
  bool IsVersionForbidden(const SoftwareVersion& version) const;
  std::vector<PlacementCandidate> FindCandidates(const VersionRule& rule,
                                                 bool falls_back,
                                                 TimePoint now);
  PlacementRequest DescribeForPlacement() const;
  bool Admit(const Placement& placement);
  // Refuses a request that none of `candidates` can take now.
  void RefuseUnplaced(const std::vector<PlacementCandidate>& candidates);
  // Whether the prompt is quarantined. A due probe is allowed, and counted.
  bool IsQuarantined();
  void RefuseQuarantined();
  // How much longer a response of the route takes that began `elapsed` ago, if
  // it takes as long as the route's latest ones.
  Duration ExpectedTime(Duration elapsed) const;
  // Whether a response that takes `time` more, though no longer than to the
  // deadline, is complete before the node stops.
  bool CanCompleteBeforeStop(Duration time) const;
  void EndForStop() override;

  void StartAttempt(const Placement& placement);
  std::string SerializeHead(const LiveEndpoint& endpoint,
                            const Placement& placement) const;
  bool OnHead(const ResponseHead& head);
  void OnBody(std::string_view bytes);
  // Reserves the memory for what is held of the attempt's response, and
  // `more` bytes of it. Ends the attempt and returns false if there is none.
  bool ReserveBuffer(size_t more);
  // Buffers the body of a response that is forwarded when it is complete.
  void BufferBody(std::string_view bytes);
  // Ends the open attempt, whose endpoint sends more than is accepted.
  void CutOffAttempt(std::string_view detail);
  void OnFirstEvent();
  // The open attempt's endpoint has read the prompt, so that others can fetch
  // its shared prefix from there.
  void NotePrefixRead();
  // Records what the response tells of the endpoint's capacity: the first
  // event's time, or a gap before an event.
  void RecordFirstEventPace(double measured_ms);
  void RecordEventGap(TimePoint previous_event);
  // The open attempt's worker has answered the request, so it has not ended
  // because of it.
  void NoteAnswered();
  void OnEnd(ResponseEnd end);
  // Heeds the pause that the endpoint asks for, if any.
  void NotePause(const EndpointResponse& response);
  // Whether the attempt's response is a stream that ended inside an event, or
  // one that ended with its connection before the first event.
  bool IsTruncatedStream() const;
  // Sends the attempt's head to the caller unless a response was begun.
  void BeginResponse();
  // Fixes the version that can continue the stream, and tells other nodes.
  void NoteStreamBegun();
  // Whether the attempt's response can be joined to the one that was begun, if
  // any: same status and type.
  bool ContinuesBegunResponse() const;
  // Counts what became of an attempt during a roll-out.
  void RecordRolloutResult(const Attempt& attempt, AttemptOutcome outcome);
  void CountRollout(const SoftwareVersion& version, const std::string& result);
  // Closes the connection of the open attempt, if any.
  void CancelAttempt(std::string_view detail);
  // Classifies the attempt by its response.
  AttemptOutcome ClassifyOutcome(ResponseEnd end) const;
  // How much speaks for it that the worker ended because of the request.
  enum class CrashSuspicion : uint8_t {
    kNone,
    // The request was open when the connection broke.
    kOpen,
    // Its response was about to begin.
    kAboutToBegin,
  };

  void EndAttempt(AttemptOutcome outcome,
                  std::string_view detail,
                  CrashSuspicion suspicion = CrashSuspicion::kNone);
  CrashSuspicion SuspicionAfter(ResponseEnd end) const;
  // Reports the crash if the worker has ended. Does not delay the request.
  void ReportIfCrashed(const LiveEndpoint& endpoint);
  // Executes `step` once it is known whether the worker still runs. If it has
  // ended, the crash is reported, and a request whose prompt is not known to be
  // sound is not sent again.
  void ExecuteStepAfterCheck(const LiveEndpointPtr& endpoint,
                             NextStep step,
                             AttemptOutcome outcome);
  void OnCrashChecked(const LiveEndpointPtr& endpoint,
                      bool is_listening,
                      NextStep step,
                      AttemptOutcome outcome);
  // Returns the step that would follow if the open attempt ended with
  // `outcome`.
  NextStep NextStepAfter(AttemptOutcome outcome);
  // Releases the connection and subtracts the work from the endpoint. Without
  // an outcome the attempt was cancelled.
  void ReleaseAttempt(std::optional<AttemptOutcome> outcome);
  void ExecuteStep(NextStep step, AttemptOutcome outcome);

  void ScheduleProgressCheck();
  void CheckProgress();
  std::optional<TimePoint> StallDeadline() const;
  void OnCallerDisconnected();

  void ForwardResponse();
  void FinishStream();
  void RecordResponseTime();
  void Refuse(int status, std::string_view cause, Duration retry_after);
  void RespondUnknownOutcome(int status, std::string_view cause);
  // Ends the request without a further attempt: breaks off a response that was
  // begun, reports an unknown outcome if the request may have been executed,
  // and otherwise refuses it with `status`.
  void EndUnanswered(int status, std::string_view cause, Duration retry_after);
  // Ends the request and logs its outcome.
  void End(int status, std::string_view cause);

  // The request's fingerprint, computed when it is first needed.
  PromptPartId Fingerprint();
  // What may be quarantined of the request: its fingerprint and shared parts.
  std::vector<PromptPartId> SuspectParts();

  bool IsStream() const {
    return m_route->kind == RouteKind::kStream && !IsHeadRequest();
  }
  bool IsHeadRequest() const { return m_exchange->head().method == "HEAD"; }
  bool ForwardsCompleteEvents() const {
    return IsStream() && m_route->is_resumable;
  }
  double MillisecondsSince(TimePoint since) const;
  Duration TimeLeft() const;

  EdgeContext& m_context;
  ServerExchangePtr m_exchange;
  CallerRequest m_request;
  TimePoint m_started_at;
  TimePoint m_deadline;
  std::shared_ptr<const ServingConfig> m_config;
  const Route* m_route = nullptr;
  CustomerName m_customer;
  // The customer's priority, or the route's if it has none; 0 is the most
  // urgent.
  uint32_t m_priority = 0;
  double m_limit_amount = 0.0;
  ServiceName m_service;
  bool m_has_engine = false;
  // Between the engines of the service.
  PrefixTransfer m_transfer;

  std::optional<Attempt> m_attempt;
  std::vector<EndpointId> m_tried_endpoints;
  uint32_t m_executions = 0;
  uint32_t m_sends = 0;
  bool m_may_have_executed = false;
  bool m_has_counted_usage = false;
  bool m_is_probe = false;
  std::optional<PromptPartId> m_fingerprint;
  EventStreamSplitter m_splitter;
  // Set once a stream was begun.
  std::optional<ResponseHead> m_begun_head;
  // Of the endpoint that began the stream. Only endpoints of this version can
  // continue it, as what two versions write does not fit together.
  std::optional<SoftwareVersion> m_stream_version;
  bool m_has_noted_stream = false;
  // Drawn once for the request and its repeats.
  std::optional<double> m_version_draw;
  // An attempt at the target of a roll-out has failed.
  bool m_has_failed_at_target = false;
  TimerId m_timer = 0;
  bool m_is_ended = false;
  std::optional<double> m_first_event_ms;
  boost::intrusive_ptr<ForwardedRequest> m_self;
};

}  // namespace pistachiowalk
