#include "net/http_server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;

constexpr Duration kSweepInterval = std::chrono::seconds(1);
constexpr int kListenBacklog = 1024;
constexpr size_t kShortBodyBytes = 32 * 1024;

leaf::result<int> OpenListener(const std::string& address, uint16_t port) {
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(port);
  if (inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr) != 1) {
    return leaf::new_error(
        NetError{NetErrorCode::kBadAddress,
                 fmt::format("\"{}\" is not an IPv4 address", address)});
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (fd < 0 ||
      bind(fd, reinterpret_cast<sockaddr*>(&endpoint), sizeof(endpoint)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const int error = errno;
    if (fd >= 0) {
      close(fd);
    }
    return leaf::new_error(
        NetError{NetErrorCode::kCannotListen,
                 fmt::format("cannot listen on {}:{}: {}", address, port,
                             std::strerror(error))});
  }
  return fd;
}

uint16_t BoundPort(int fd) {
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &length);
  return ntohs(bound.sin_port);
}

int DescriptorOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

}  // namespace

// Callbacks for libmicrohttpd; `closure` is the server.
struct HttpServer::Callbacks {
  static MHD_Result HandleAccess(void* closure,
                                 MHD_Connection* connection,
                                 const char* /*url*/,
                                 const char* method,
                                 const char* /*version*/,
                                 const char* upload_data,
                                 size_t* upload_size,
                                 void** context) {
    auto* server = static_cast<HttpServer*>(closure);
    auto* exchange = static_cast<HttpExchange*>(*context);
    if (exchange->m_method.empty()) {
      exchange->m_method = method;
      return MHD_YES;
    }
    if (*upload_size > 0) {
      AppendBody(*server, *exchange, upload_data, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    return ProcessRequest(*server, *exchange, connection);
  }

  // Called with the request target before it is decoded. The return value
  // becomes the request's `context` in the other callbacks.
  static void* NewExchange(void* closure,
                           const char* target,
                           MHD_Connection* connection) {
    auto* server = static_cast<HttpServer*>(closure);
    ++server->m_open_exchanges;
    server->SetRequestDeadline(DescriptorOf(connection),
                               server->m_options.request_timeout);
    auto* exchange = new HttpExchange(*server, connection, target);
    intrusive_ptr_add_ref(exchange);
    return exchange;
  }

  // The rest of a body for which there is no room is read and discarded, so
  // that the client can receive the response.
  static void AppendBody(const HttpServer& server,
                         HttpExchange& exchange,
                         const char* data,
                         size_t size) {
    if (exchange.m_is_body_too_large || exchange.m_has_no_room_for_body) {
      return;
    }
    const HttpServerOptions& options = server.m_options;
    const size_t needed = exchange.m_body.size() + size;
    if (needed > options.maximum_body_bytes) {
      exchange.m_is_body_too_large = true;
      exchange.ReallocateBody(0);
      return;
    }
    const size_t allocated = exchange.m_body.capacity();
    if (needed > allocated) {
      const size_t grown =
          std::max(needed, std::min(2 * allocated, options.maximum_body_bytes));
      // NOTE: Long bodies leave a quarter of the memory to short ones.
      const size_t maximum = grown > kShortBodyBytes
                                 ? options.maximum_held_body_bytes / 4 * 3
                                 : options.maximum_held_body_bytes;
      if (*server.m_held_body_bytes + grown - allocated > maximum) {
        exchange.m_has_no_room_for_body = true;
        exchange.ReallocateBody(0);
        return;
      }
      exchange.ReallocateBody(grown);
    }
    exchange.m_body.append(data, size);
  }

  static MHD_Result ProcessRequest(HttpServer& server,
                                   HttpExchange& exchange,
                                   MHD_Connection* connection) {
    server.m_request_deadlines.erase(DescriptorOf(connection));
    if (!exchange.m_is_handled) {
      exchange.m_is_handled = true;
      server.m_handler(HttpExchangePtr(&exchange));
    }
    if (exchange.m_response == nullptr) {
      exchange.SuspendConnection();
      return MHD_YES;
    }
    if (exchange.m_is_queued) {
      return MHD_YES;
    }
    exchange.m_is_queued = true;
    return MHD_queue_response(connection,
                              static_cast<unsigned>(exchange.m_status),
                              exchange.m_response);
  }

  static void Completed(void* closure,
                        MHD_Connection* connection,
                        void** context,
                        MHD_RequestTerminationCode reason) {
    if (*context == nullptr) {
      return;
    }
    auto* server = static_cast<HttpServer*>(closure);
    server->SetRequestDeadline(DescriptorOf(connection),
                               server->m_options.idle_timeout);
    --server->m_open_exchanges;
    const HttpExchangePtr exchange(static_cast<HttpExchange*>(*context), false);
    *context = nullptr;
    exchange->Close(reason == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  }

  static void ConnectionChanged(void* closure,
                                MHD_Connection* connection,
                                void** /*context*/,
                                MHD_ConnectionNotificationCode code) {
    auto* server = static_cast<HttpServer*>(closure);
    const int fd = DescriptorOf(connection);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      server->SetRequestDeadline(fd, server->m_options.request_timeout);
    } else {
      server->m_request_deadlines.erase(fd);
    }
  }
};

leaf::result<std::unique_ptr<HttpServer>> HttpServer::Create(
    EventLoop& loop,
    HttpServerOptions options,
    Handler handler) {
  std::unique_ptr<HttpServer> server(
      new HttpServer(loop, std::move(options), std::move(handler)));
  BOOST_LEAF_CHECK(server->Start());
  return server;
}

HttpServer::HttpServer(EventLoop& loop,
                       HttpServerOptions options,
                       Handler handler)
    : m_loop(loop),
      m_options(std::move(options)),
      m_handler(std::move(handler)) {}

leaf::result<void> HttpServer::Start() {
  BOOST_LEAF_AUTO(fd, OpenListener(m_options.address, m_options.port));
  m_listen_fd = fd;
  m_port = BoundPort(fd);
  m_daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
      &Callbacks::HandleAccess, this, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::Completed, this,
      MHD_OPTION_NOTIFY_CONNECTION, &Callbacks::ConnectionChanged, this,
      MHD_OPTION_URI_LOG_CALLBACK, &Callbacks::NewExchange, this,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(m_options.idle_timeout.count()),
      MHD_OPTION_CONNECTION_LIMIT, m_options.maximum_connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, m_options.maximum_header_bytes,
      MHD_OPTION_END);
  if (m_daemon == nullptr) {
    close(fd);
    return leaf::new_error(
        NetError{NetErrorCode::kCannotListen, "cannot start libmicrohttpd"});
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
  m_loop.Watch(info->epoll_fd, Readiness{.readable = true, .writable = false},
               [this](int, Readiness) { RunNow(); });
  ScheduleSweep();
  return {};
}

HttpServer::~HttpServer() {
  m_loop.Cancel(m_timeout_timer);
  m_loop.Cancel(m_sweep_timer);
  if (m_daemon == nullptr) {
    return;
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
  m_loop.Unwatch(info->epoll_fd);
  MHD_stop_daemon(m_daemon);
}

void HttpServer::StopAccepting() {
  if (m_listen_fd < 0) {
    return;
  }
  const MHD_socket fd = MHD_quiesce_daemon(m_daemon);
  if (fd != MHD_INVALID_SOCKET) {
    close(fd);
  }
  m_listen_fd = -1;
}

void HttpServer::ScheduleRun() {
  if (m_is_run_scheduled) {
    return;
  }
  m_is_run_scheduled = true;
  m_loop.Post([this] { RunNow(); });
}

void HttpServer::RunNow() {
  m_is_run_scheduled = false;
  MHD_run(m_daemon);
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  m_loop.Cancel(m_timeout_timer);
  m_timeout_timer = 0;
  if (MHD_get_timeout(m_daemon, &timeout_ms) != MHD_YES) {
    return;
  }
  if (timeout_ms == 0) {
    ScheduleRun();
    return;
  }
  m_timeout_timer = m_loop.Schedule(std::chrono::milliseconds(timeout_ms),
                                    [this] { RunNow(); });
}

void HttpServer::ScheduleSweep() {
  m_sweep_timer = m_loop.Schedule(kSweepInterval, [this] {
    CloseSlowConnections();
    ScheduleSweep();
  });
}

void HttpServer::SetRequestDeadline(int fd, Duration time) {
  const TimePoint deadline = std::chrono::steady_clock::now() + time;
  const auto [it, is_new] = m_request_deadlines.emplace(fd, deadline);
  if (!is_new) {
    it->second = std::min(it->second, deadline);
  }
}

void HttpServer::CloseSlowConnections() {
  const TimePoint now = std::chrono::steady_clock::now();
  std::erase_if(m_request_deadlines, [now](const auto& entry) {
    if (entry.second > now) {
      return false;
    }
    // NOTE: libmicrohttpd's own timeout restarts with every byte, so a client
    // that sends single bytes slowly could keep its connection open forever.
    shutdown(entry.first, SHUT_RDWR);
    return true;
  });
}

}  // namespace pistachiowalk
