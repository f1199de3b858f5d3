#pragma once

#include <boost/intrusive_ptr.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "http1/client_connection.h"
#include "http1/socket_address.h"
#include "net/event_loop.h"

namespace pistachiowalk {

struct HttpClientRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  // The call fails with kNoResponse after this time, or, if `progress_timeout`
  // is set, if the response has not begun by then.
  Duration timeout = std::chrono::seconds(1);
  // The longest time between two parts of a response, whatever its size.
  std::optional<Duration> progress_timeout;
};

struct HttpClientResponse {
  ResponseEnd end = ResponseEnd::kNoResponse;
  // HTTP status code; 0 if no complete response was received.
  int status = 0;
  HttpHeaders headers;
  std::string body;
  // Of the body, also if the response is not complete.
  size_t received_bytes = 0;

  bool is_complete() const { return end == ResponseEnd::kComplete; }
};

// An HTTP client for one peer that buffers complete responses and reuses idle
// connections. A connection is not reused after a call on it has timed out.
class PooledHttpClient {
 public:
  using Callback = std::function<void(const HttpClientResponse& response)>;

  PooledHttpClient(EventLoop& loop, SocketAddress peer);
  ~PooledHttpClient();
  PooledHttpClient(const PooledHttpClient&) = delete;
  PooledHttpClient& operator=(const PooledHttpClient&) = delete;

  // NOTE: The callback never runs from within this call.
  void Call(const HttpClientRequest& request, Callback callback);
  const SocketAddress& peer() const { return m_peer; }

 private:
  struct OpenCall;
  using OpenCalls = std::list<std::unique_ptr<OpenCall>>;

  // Ends the call if nothing more is received within `timeout`.
  void RestartTimer(OpenCalls::iterator call, Duration timeout);
  void OnProgress(OpenCalls::iterator call);
  void Finish(OpenCalls::iterator call, HttpClientResponse response);
  ClientConnectionPtr AcquireConnection();

  EventLoop& m_loop;
  SocketAddress m_peer;
  OpenCalls m_open;
  std::list<ClientConnectionPtr> m_idle;
};

}  // namespace pistachiowalk
