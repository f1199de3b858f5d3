#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "net/event_loop.h"
#include "net/http_exchange.h"

struct MHD_Daemon;

namespace pistachiowalk {

enum class NetErrorCode { kBadAddress, kCannotListen };

// Error from setting up a listening socket.
struct NetError {
  NetErrorCode code = NetErrorCode::kBadAddress;
  std::string detail;
};

struct HttpServerOptions {
  // IPv4 address and port; port 0 selects an ephemeral port.
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  size_t maximum_body_bytes = 1024 * 1024;
  // Memory of the bodies of all requests together.
  size_t maximum_held_body_bytes = 64 * 1024 * 1024;
  size_t maximum_header_bytes = 16 * 1024;
  unsigned maximum_connections = 8192;
  // Time limit for receiving a complete request: the first one counted from
  // the start of the connection, each later one from its first byte.
  std::chrono::seconds request_timeout{10};
  // Time after which an idle connection is closed.
  std::chrono::seconds idle_timeout{75};
};

// An HTTP/1.1 server on an event loop, built on libmicrohttpd.
class HttpServer {
 public:
  using Handler = std::function<void(const HttpExchangePtr&)>;

  // Errors: NetErrorCode::kBadAddress, NetErrorCode::kCannotListen.
  static boost::leaf::result<std::unique_ptr<HttpServer>>
  Create(EventLoop& loop, HttpServerOptions options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const { return m_port; }
  // Closes the listening socket; open exchanges continue.
  void StopAccepting();
  size_t OpenExchanges() const { return m_open_exchanges; }

 private:
  friend class HttpExchange;
  struct Callbacks;

  HttpServer(EventLoop& loop, HttpServerOptions options, Handler handler);
  boost::leaf::result<void> Start();
  // Posts a run of libmicrohttpd; called whenever a response has made progress.
  void ScheduleRun();
  void RunNow();
  void ScheduleSweep();
  // Sets the deadline for receiving the connection's next request in full to
  // `time` from now; an earlier deadline is kept.
  void SetRequestDeadline(int fd, Duration time);
  void CloseSlowConnections();

  EventLoop& m_loop;
  HttpServerOptions m_options;
  Handler m_handler;
  MHD_Daemon* m_daemon = nullptr;
  uint16_t m_port = 0;
  int m_listen_fd = -1;
  bool m_is_run_scheduled = false;
  size_t m_open_exchanges = 0;
  // Memory of the bodies of all exchanges; they may outlive the server.
  std::shared_ptr<size_t> m_held_body_bytes = std::make_shared<size_t>(0);
  TimerId m_timeout_timer = 0;
  TimerId m_sweep_timer = 0;
  // Deadlines for receiving a complete request, by connection descriptor.
  std::unordered_map<int, TimePoint> m_request_deadlines;
};

}  // namespace pistachiowalk
