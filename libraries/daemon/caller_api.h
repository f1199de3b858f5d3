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

// Path of a caller's return, followed by the request's id.
inline constexpr std::string_view kRequestsPath = "/v1/requests/";

// The HTTP interface towards callers (docs/interfaces/caller.md): checks a
// request, accepts it and starts its session.
class CallerApi {
 public:
  explicit CallerApi(DaemonContext& context);
  ~CallerApi();
  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  void Handle(const HttpExchangePtr& exchange);

  // Refuses new requests from now on; `on_idle` is called once none is open.
  // Streams still open after `handover_delay` are handed over to peers.
  void StartDraining(Duration handover_delay, std::function<void()> on_idle);
  // Breaks off what is still open.
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
  // A caller that comes back for the rest of a stream.
  void HandleReconnect(const HttpExchangePtr& exchange);
  void HandOverStreams();
  void HandOver(const RequestSessionPtr& session, size_t peers_tried);
  void AcceptHandover(const StreamHandover& handover);
  void AddSession(const RequestSessionPtr& session);
  RequestSession* FindSession(const RequestId& request);
  // The customer that the request's bearer key names, nullptr for none.
  const Customer* Authenticate(const HttpExchange& exchange) const;
  // The caller of a request that this node can take; nullptr once the request
  // has been refused.
  const Customer* AdmitCaller(const HttpExchangePtr& exchange);
  void Refuse(const HttpExchangePtr& exchange, Problem problem);
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
