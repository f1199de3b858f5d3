#include "http1/tcp_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "net/http_server.h"

namespace pistachiowalk {
namespace {

constexpr int kBacklog = 512;
constexpr int kMaximumAcceptsPerEvent = 32;

}  // namespace

boost::leaf::result<std::unique_ptr<TcpListener>> TcpListener::Create(
    EventLoop& loop,
    const SocketAddress& address,
    Callback callback) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &local.sin_addr);
  if (fd < 0 ||
      setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
      listen(fd, kBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    if (fd >= 0) {
      close(fd);
    }
    return boost::leaf::new_error(NetError{
        .code = NetErrorCode::kCannotListen,
        .detail = "TCP " + FormatSocketAddress(address) + ": " + reason});
  }
  return std::unique_ptr<TcpListener>(
      new TcpListener(loop, fd, std::move(callback)));
}

TcpListener::TcpListener(EventLoop& loop, int fd, Callback callback)
    : m_loop(loop), m_fd(fd), m_callback(std::move(callback)) {
  m_loop.Watch(m_fd, Readiness{.readable = true},
               [this](int, Readiness) { OnReadable(); });
}

TcpListener::~TcpListener() {
  Close();
}

void TcpListener::Close() {
  if (m_fd >= 0) {
    m_loop.Unwatch(m_fd);
    close(m_fd);
    m_fd = -1;
  }
}

void TcpListener::OnReadable() {
  for (int i = 0; i < kMaximumAcceptsPerEvent && m_fd >= 0; ++i) {
    const int fd =
        accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    m_callback(TcpConnection::Adopt(m_loop, fd));
  }
}

}  // namespace pistachiowalk
