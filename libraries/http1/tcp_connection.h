#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http1/socket_address.h"
#include "net/event_loop.h"

namespace pistachiowalk {

enum class ConnectionEnd : uint8_t {
  // The peer closed the connection in an orderly way.
  kClosed,
  kReset,
  // The connection could not be established.
  kNotConnected,
};

// Most bytes that are read at once.
inline constexpr size_t kMaximumReadBytes = 64 * 1024;

// Bytes that several owners read and nobody changes.
using SharedBytes = std::shared_ptr<const std::string>;

// A non-blocking TCP connection on an event loop. Bytes queued within one loop
// iteration are sent with one system call. A posted flush and the linger timer
// hold a reference to it. No handler is called after the owner has called
// Close().
class TcpConnection final
    : public boost::intrusive_ref_counter<TcpConnection,
                                          boost::thread_unsafe_counter> {
 public:
  struct Handlers {
    std::function<void()> connected;
    // Bytes were appended to input().
    std::function<void()> received;
    std::function<void(ConnectionEnd end)> ended;
    // Queued bytes were passed to the socket, perhaps not all of them. Also
    // called after CloseWhenSent().
    std::function<void()> flushed;
  };

  // Takes ownership of an accepted socket.
  static boost::intrusive_ptr<TcpConnection> Adopt(EventLoop& loop, int fd);
  // Starts connecting. Failures are reported through `ended`, never from within
  // this call.
  static boost::intrusive_ptr<TcpConnection> Connect(
      EventLoop& loop,
      const SocketAddress& address);

  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void SetHandlers(Handlers handlers);
  // Queues bytes; they are sent at the end of this loop iteration, or once the
  // connection is established.
  void Send(std::string_view bytes);
  // Queues `bytes` and after them `shared`, which is not copied unless it is
  // short.
  void Send(std::string_view bytes, SharedBytes shared);
  // Sends the queued bytes and shuts down the sending side, then closes the
  // connection when the peer has closed it or `linger` has passed.
  void CloseWhenSent(Duration linger, std::function<void()> closed = nullptr);
  // Closes the connection at once and discards the queued bytes.
  void Close();
  // Like Close(), but the peer sees an error and no orderly end.
  void Reset();

  // Received bytes; the owner removes those it has consumed.
  std::string& input() { return m_input; }
  size_t unsent_bytes() const {
    return m_output.size() - m_output_sent +
           (m_shared ? m_shared->size() - m_shared_sent : 0);
  }
  // Whether the socket did not take all queued bytes.
  bool is_blocked() const { return m_is_connected && m_wants_writable; }
  // Memory allocated for bytes that are queued.
  size_t output_capacity() const { return m_output.capacity(); }
  // Bytes that have arrived at the peer, whether it has read them or not.
  uint64_t ArrivedBytes() const;
  bool is_open() const { return m_fd >= 0; }
  bool is_connected() const { return m_is_connected; }
  // Whether any byte has been passed to the socket.
  bool has_sent() const { return m_has_sent; }
  // Pauses or resumes reading, for backpressure.
  void SetReading(bool is_reading);
  // Whether the peer has closed or reset the connection, also while it is not
  // read.
  bool HasPeerClosed() const;
  // Whether received bytes, or the peer's end, wait in the socket to be read.
  bool HasPendingInput() const;
  // Bytes received after CloseWhenSent(), which nobody handles.
  size_t dropped_bytes() const { return m_dropped_bytes; }
  bool is_reading() const { return m_is_reading; }
  // Bounds the bytes that one read appends to input().
  void SetReadSize(size_t bytes) { m_read_bytes = bytes; }

 private:
  TcpConnection(EventLoop& loop, int fd, bool is_connected);

  void UpdateWatch();
  void OnReady(Readiness readiness);
  void OnWritable();
  void OnReadable();
  void Flush();
  // Passes queued bytes to the socket. Returns false if it takes none now or
  // the connection has ended.
  bool SendSome(std::string_view bytes, size_t& sent);
  void OnWriteFailed();
  void End(ConnectionEnd end);

  EventLoop& m_loop;
  int m_fd;
  bool m_is_connected;
  bool m_has_sent = false;
  bool m_has_write_failed = false;
  bool m_is_reading = true;
  bool m_is_flush_posted = false;
  bool m_wants_writable = false;
  bool m_closes_when_sent = false;
  bool m_is_lingering = false;
  Duration m_linger{};
  TimerId m_linger_timer = 0;
  std::string m_input;
  std::string m_output;
  size_t m_output_sent = 0;
  // Bytes passed to the socket since the connection was opened.
  uint64_t m_passed_bytes = 0;
  // Sent after m_output.
  SharedBytes m_shared;
  size_t m_shared_sent = 0;
  size_t m_dropped_bytes = 0;
  size_t m_read_bytes = kMaximumReadBytes;
  Handlers m_handlers;
};

using TcpConnectionPtr = boost::intrusive_ptr<TcpConnection>;

}  // namespace pistachiowalk
