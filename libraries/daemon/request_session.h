#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "bundle/bundle.h"
#include "daemon/chat_format.h"
#include "daemon/daemon_context.h"
#include "daemon/stream_handover.h"
#include "daemon/upstream_attempt.h"
#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "request/request_machine.h"

namespace pistachiowalk {

// A call of a plain service, which is forwarded unchanged.
struct PlainCall {
  std::string method;
  // Path and query that follow the service's name, starting with a slash.
  std::string path;
  std::string content_type;
  std::string body;
};

// The content of an accepted request. Exactly one member is set.
struct RequestPayload {
  std::optional<ChatRequest> chat;
  std::optional<PlainCall> plain;
};

// Performs the I/O of one accepted request: passes events to the request core
// and executes its commands on the caller's exchange, the endpoints and the
// claims.
class RequestSession final
    : public boost::intrusive_ref_counter<RequestSession,
                                          boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<> {
 public:
  using EndCallback = std::function<void(RequestSession& session)>;

  RequestSession(DaemonContext& context,
                 HttpExchangePtr exchange,
                 std::shared_ptr<const Bundle> bundle,
                 RequestSpec spec,
                 RequestPayload payload,
                 EndCallback on_end);
  ~RequestSession();

  void Start();
  // Continues a generation that a peer has handed over. There is no caller
  // until Attach.
  void StartHandedOver(std::vector<std::string> tokens);
  // Sends the response from token `from` on to a caller that has reconnected.
  void Attach(HttpExchangePtr exchange, uint64_t from);
  // Whether a peer can continue this request.
  bool CanBeHandedOver() const;
  // Cancels the attempt and returns what a peer needs to continue the stream.
  StreamHandover PrepareHandover();
  // Ends the request on this node if a peer has received the handover;
  // otherwise continues it.
  void FinishHandover(bool is_delivered);
  // Passes the event that an endpoint leaves to the request core.
  void HandleEndpointLeaving(const EndpointId& endpoint);
  // Aborts the caller's connection on a forced stop.
  void Abort();
  const RequestSpec& spec() const { return m_state.spec; }

 private:
  void Apply(const RequestEvent& event);
  void ScheduleDeadline();
  void WatchCaller();
  void OnCallerClosed();
  void SendRemainingTokens(uint64_t from);
  // Keeps a response that finished while no caller was connected, until a
  // caller reconnects or the timeout expires.
  void RetainForReconnect();
  void Perform(const RequestCommands& commands);
  void Perform(const FindEndpoint& command);
  void Perform(const StartAttempt& command);
  void Perform(const CancelAttempt& command);
  void Perform(const SendToken& command);
  void Perform(const SendEnd& command);
  void Perform(const SendReply& command);
  void Perform(const SendProblem& command);
  void Perform(const ClaimAction& command);
  void Perform(const RecordOutcome& command);
  void Perform(const ReleaseClaim& command);
  void Perform(const EndRequest& command);

  HttpCallOptions AttemptOptions(const StartAttempt& command) const;
  bool IsStreaming() const;
  void StartStreamIfNeeded();
  void ScheduleKeepAlive();
  void ApplyBackPressure();
  void DropAttempt();
  std::string JoinedTokens() const;

  DaemonContext& m_context;
  HttpExchangePtr m_exchange;
  std::shared_ptr<const Bundle> m_bundle;
  RequestPayload m_payload;
  EndCallback m_on_end;
  RequestState m_state;
  UpstreamAttemptPtr m_attempt;
  EndpointId m_attempt_endpoint;
  TimerId m_deadline_timer = 0;
  TimerId m_keep_alive_timer = 0;
  TimerId m_reconnect_timer = 0;
  // The result of a request that ended while no caller was connected.
  std::optional<std::string> m_finish_reason;
  std::optional<Problem> m_problem;
  // Index of the first token that the caller does not have.
  uint64_t m_first_unsent = 0;
  bool m_is_handing_over = false;
  bool m_is_stream_started = false;
  bool m_is_paused = false;
  std::string m_result = "caller-gone";
};

using RequestSessionPtr = boost::intrusive_ptr<RequestSession>;

}  // namespace pistachiowalk
