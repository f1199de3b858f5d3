#include "http1/tcp_connection.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace pistachiowalk {
namespace {

// Shared bytes up to this size are copied, and sent with one system call.
constexpr size_t kCopiedBytes = 16 * 1024;
constexpr int kReadsAfterReset = 4;
// Capacity of an empty buffer above which its memory is released: idle
// connections are many.
constexpr size_t kRetainedBytes = 4 * 1024;
// A connection ends after sent bytes have been unacknowledged for this long:
// well below the shortest timeout of a stream, and long enough for a few
// retransmissions.
constexpr unsigned kUserTimeoutMilliseconds = 4000;
// Number of sent bytes above which they are erased from the output buffer.
constexpr size_t kCompactionThreshold = 256 * 1024;

sockaddr_in ToSockaddr(const SocketAddress& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

void ReleaseUnused(std::string& buffer) {
  if (buffer.capacity() > kRetainedBytes &&
      buffer.size() < buffer.capacity() / 4) {
    buffer.shrink_to_fit();
  }
}

void SetOptions(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMilliseconds,
             sizeof(kUserTimeoutMilliseconds));
}

}  // namespace

TcpConnection::TcpConnection(EventLoop& loop, int fd, bool is_connected)
    : m_loop(loop), m_fd(fd), m_is_connected(is_connected) {}

TcpConnection::~TcpConnection() {
  Close();
}

TcpConnectionPtr TcpConnection::Adopt(EventLoop& loop, int fd) {
  SetOptions(fd);
  TcpConnectionPtr connection(new TcpConnection(loop, fd, true));
  connection->UpdateWatch();
  return connection;
}

TcpConnectionPtr TcpConnection::Connect(EventLoop& loop,
                                        const SocketAddress& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  TcpConnectionPtr connection(new TcpConnection(loop, fd, false));
  int error = fd < 0 ? errno : 0;
  if (fd >= 0) {
    SetOptions(fd);
    const sockaddr_in target = ToSockaddr(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) != 0) {
      error = errno;
    }
  }
  if (error != 0 && error != EINPROGRESS) {
    loop.Post([connection] { connection->End(ConnectionEnd::kNotConnected); });
    return connection;
  }
  connection->m_wants_writable = true;
  connection->UpdateWatch();
  return connection;
}

void TcpConnection::SetHandlers(Handlers handlers) {
  m_handlers = std::move(handlers);
}

void TcpConnection::Send(std::string_view bytes) {
  if (m_fd < 0 || m_closes_when_sent) {
    return;
  }
  if (m_shared) {
    m_output.append(*m_shared, m_shared_sent);
    m_shared.reset();
  }
  m_output += bytes;
  if (m_is_connected && !m_is_flush_posted) {
    m_is_flush_posted = true;
    m_loop.Post([self = TcpConnectionPtr(this)] {
      self->m_is_flush_posted = false;
      self->Flush();
    });
  }
}

void TcpConnection::Send(std::string_view bytes, SharedBytes shared) {
  Send(bytes);
  if (shared->size() <= kCopiedBytes) {
    Send(*shared);
  } else if (m_fd >= 0 && !m_closes_when_sent) {
    m_shared = std::move(shared);
    m_shared_sent = 0;
  }
}

void TcpConnection::CloseWhenSent(Duration linger,
                                  std::function<void()> closed) {
  if (m_fd < 0) {
    return;
  }
  const TcpConnectionPtr keep(this);
  m_handlers = Handlers{.connected = nullptr,
                        .received = nullptr,
                        .ended = nullptr,
                        .flushed = std::move(m_handlers.flushed)};
  if (closed) {
    m_handlers.ended = [closed = std::move(closed)](ConnectionEnd) {
      closed();
    };
  }
  m_linger = linger;
  m_closes_when_sent = true;
  Flush();
}

void TcpConnection::Close() {
  m_handlers = {};
  if (m_linger_timer != 0) {
    m_loop.Cancel(m_linger_timer);
    m_linger_timer = 0;
  }
  m_shared.reset();
  if (m_fd >= 0) {
    m_loop.Unwatch(m_fd);
    close(m_fd);
    m_fd = -1;
  }
}

void TcpConnection::Reset() {
  if (m_fd >= 0) {
    const linger discard{.l_onoff = 1, .l_linger = 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  }
  Close();
}

uint64_t TcpConnection::ArrivedBytes() const {
  int unacknowledged = 0;
  if (m_fd < 0 || ioctl(m_fd, SIOCOUTQ, &unacknowledged) != 0) {
    return m_passed_bytes;
  }
  return m_passed_bytes -
         std::min(m_passed_bytes, static_cast<uint64_t>(unacknowledged));
}

void TcpConnection::SetReading(bool is_reading) {
  if (m_is_reading != is_reading) {
    m_is_reading = is_reading;
    UpdateWatch();
  }
}

bool TcpConnection::HasPeerClosed() const {
  pollfd poll_fd{.fd = m_fd, .events = POLLRDHUP, .revents = 0};
  return m_fd < 0 || poll(&poll_fd, 1, 0) > 0;
}

bool TcpConnection::HasPendingInput() const {
  pollfd poll_fd{.fd = m_fd, .events = POLLIN, .revents = 0};
  return m_fd >= 0 && poll(&poll_fd, 1, 0) > 0;
}

void TcpConnection::UpdateWatch() {
  if (m_fd < 0) {
    return;
  }
  m_loop.Watch(
      m_fd, Readiness{.readable = m_is_reading, .writable = m_wants_writable},
      [this](int, Readiness readiness) { OnReady(readiness); });
}

void TcpConnection::OnReady(Readiness readiness) {
  const TcpConnectionPtr keep(this);
  if (readiness.writable) {
    OnWritable();
  }
  if (readiness.readable && m_fd >= 0) {
    OnReadable();
  }
}

void TcpConnection::OnWritable() {
  if (!m_is_connected) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      End(ConnectionEnd::kNotConnected);
      return;
    }
    m_is_connected = true;
    if (m_handlers.connected) {
      m_handlers.connected();
    }
  }
  Flush();
}

void TcpConnection::OnReadable() {
  static thread_local std::array<char, kMaximumReadBytes> buffer;
  // NOTE: One read per readiness event, so that one peer cannot starve the
  // others and no more is held than the owner has asked for.
  const ssize_t count =
      recv(m_fd, buffer.data(), std::min(m_read_bytes, buffer.size()), 0);
  if (count > 0) {
    if (m_closes_when_sent) {
      m_dropped_bytes += static_cast<size_t>(count);
      return;
    }
    m_input.append(buffer.data(), static_cast<size_t>(count));
    if (m_handlers.received) {
      m_handlers.received();
    }
    ReleaseUnused(m_input);
    return;
  }
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  End(count == 0 && !m_has_write_failed ? ConnectionEnd::kClosed
      : m_is_connected                  ? ConnectionEnd::kReset
                                        : ConnectionEnd::kNotConnected);
}

void TcpConnection::Flush() {
  while (SendSome(m_output, m_output_sent)) {
  }
  while (m_shared && m_output_sent == m_output.size() &&
         SendSome(*m_shared, m_shared_sent)) {
  }
  if (m_fd < 0) {
    return;
  }
  if (m_shared && m_shared_sent == m_shared->size()) {
    m_shared.reset();
  }
  if (m_output_sent == m_output.size()) {
    m_output.clear();
    ReleaseUnused(m_output);
    m_output_sent = 0;
  } else if (m_output_sent > kCompactionThreshold) {
    m_output.erase(0, m_output_sent);
    m_output_sent = 0;
  }
  const bool wants_writable = !m_is_connected || unsent_bytes() > 0;
  if (wants_writable != m_wants_writable) {
    m_wants_writable = wants_writable;
    UpdateWatch();
  }
  if (m_closes_when_sent && unsent_bytes() == 0 && !m_is_lingering) {
    m_is_lingering = true;
    shutdown(m_fd, SHUT_WR);
    // NOTE: Keeps the connection alive until the timer closes it. Closing it
    // with unread bytes would reset it, which could discard the response in
    // transit.
    m_linger_timer = m_loop.Schedule(m_linger, [self = TcpConnectionPtr(this)] {
      self->m_linger_timer = 0;
      self->End(ConnectionEnd::kClosed);
    });
  }
  if (m_handlers.flushed) {
    m_handlers.flushed();
  }
}

bool TcpConnection::SendSome(std::string_view bytes, size_t& sent) {
  if (m_fd < 0 || !m_is_connected || sent == bytes.size()) {
    return false;
  }
  const ssize_t count =
      send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
  if (count >= 0) {
    m_has_sent = true;
    sent += static_cast<size_t>(count);
    m_passed_bytes += static_cast<size_t>(count);
    return true;
  }
  if (errno == EINTR) {
    return true;
  }
  if (errno != EAGAIN) {
    OnWriteFailed();
  }
  return false;
}

void TcpConnection::OnWriteFailed() {
  // NOTE: Bytes that the peer sent before the reset may still be readable. The
  // failed call has cleared the socket's error, so that reading ends as if the
  // peer had closed the connection.
  m_has_write_failed = true;
  for (int i = 0; i < kReadsAfterReset && m_fd >= 0; ++i) {
    OnReadable();
  }
  if (m_fd >= 0) {
    End(ConnectionEnd::kReset);
  }
}

void TcpConnection::End(ConnectionEnd end) {
  const TcpConnectionPtr keep(this);
  const Handlers handlers = std::move(m_handlers);
  Close();
  if (handlers.ended) {
    handlers.ended(end);
  }
}

}  // namespace pistachiowalk
