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

// A call of a plain service, to be passed on as it is.
struct PlainCall {
  std::string method;
  // Path and query behind the service's name, with its leading slash.
  std::string path;
  std::string content_type;
  std::string body;
};

// What a session serves: exactly one of the two is set.
struct RequestPayload {
  std::optional<ChatRequest> chat;
  std::optional<PlainCall> plain;
};

// The shell of one accepted request: performs the commands of the request
// core on the caller's exchange, the endpoints and the claims.
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
  // Goes on with a generation that a peer has handed over, without a caller
  // until one attaches.
  void StartHandedOver(std::vector<std::string> tokens);
  // Gives the rest of the answer, from token `from`, to a caller that has
  // come back.
  void Attach(HttpExchangePtr exchange, uint64_t from);
  // Whether a peer can go on with this request.
  bool CanBeHandedOver() const;
  // Stops producing and says what a peer needs to go on.
  StreamHandover PrepareHandover();
  // Ends the request here when a peer has it, or else goes on.
  void FinishHandover(bool is_delivered);
  // Tells the core that an endpoint leaves.
  void HandleEndpointLeaving(const EndpointId& endpoint);
  // Breaks the caller's connection off, for a forced stop.
  void Abort();
  const RequestSpec& spec() const { return m_state.spec; }

 private:
  void Apply(const RequestEvent& event);
  void ScheduleDeadline();
  void WatchCaller();
  void OnCallerClosed();
  void SendRemainingTokens(uint64_t from);
  // Holds an answer that ended while no caller was there.
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
  // How the request ended while no caller was there.
  std::optional<std::string> m_finish_reason;
  std::optional<Problem> m_problem;
  // Tokens before this one are with the caller already.
  uint64_t m_first_unsent = 0;
  bool m_is_handing_over = false;
  bool m_is_stream_started = false;
  bool m_is_paused = false;
  std::string m_result = "caller-gone";
};

using RequestSessionPtr = boost::intrusive_ptr<RequestSession>;

}  // namespace pistachiowalk
