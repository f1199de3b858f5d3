#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/problem.h"
#include "bundle/bundle.h"
#include "daemon/daemon_context.h"
#include "daemon/request_session.h"
#include "net/http_exchange.h"

namespace pistachiowalk {

// Path at which a caller resumes a stream, followed by the request id.
inline constexpr std::string_view kRequestsPath = "/v1/requests/";

// The HTTP interface for callers (docs/interfaces/caller.md). It authenticates
// and validates requests, starts their sessions, and hands streams over to
// peers while the node drains.
class CallerApi {
 public:
  explicit CallerApi(DaemonContext& context);
  ~CallerApi();
  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  void Handle(const HttpExchangePtr& exchange);

  // Rejects new requests from now on and calls `on_idle` once no request is
  // open. Streams that are still open after `handover_delay` are handed over to
  // peers.
  void StartDraining(Duration handover_delay, std::function<void()> on_idle);
  // Closes the connections of all open requests.
  void AbortAll();
  void HandleEndpointLeaving(const EndpointId& endpoint);
  size_t OpenRequests() const { return m_sessions.size(); }

 private:
  using SessionList =
      boost::intrusive::list<RequestSession,
                             boost::intrusive::constant_time_size<true>>;

  void HandleChat(const HttpExchangePtr& exchange);
  void HandlePlainService(const HttpExchangePtr& exchange);
  void HandleOperationalPath(const HttpExchangePtr& exchange);
  // Resumes a stream for a caller that has reconnected. A request that this
  // node does not have is forwarded to other nodes.
  void HandleReconnect(const HttpExchangePtr& exchange);
  void HandOverStreams();
  void HandOver(const RequestSessionPtr& session, size_t peers_tried);
  void AcceptHandover(const StreamHandover& handover);
  void AddSession(const RequestSessionPtr& session);
  RequestSession* FindSession(const RequestId& request);
  // Returns the customer whose bearer key the request has, or nullptr.
  const Customer* Authenticate(const HttpExchange& exchange) const;
  // Returns the authenticated customer. If the node cannot accept the request,
  // it sends the problem to the caller and returns nullptr.
  const Customer* AdmitCaller(const HttpExchangePtr& exchange);
  void Reject(const HttpExchangePtr& exchange, Problem problem);
  void StartSession(const HttpExchangePtr& exchange,
                    const Customer& customer,
                    const Service& service,
                    RequestPayload payload,
                    RequestKind kind);
  void EndSession(RequestSession& session);
  RequestId NextRequestId();

  DaemonContext& m_context;
  SessionList m_sessions;
  std::string m_incarnation;
  uint64_t m_last_sequence = 0;
  bool m_is_draining = false;
  std::function<void()> m_on_idle;
};

}  // namespace pistachiowalk
