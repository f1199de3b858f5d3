#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http1/socket_address.h"
#include "net/event_loop.h"

namespace pistachiowalk {

enum class ConnectionEnd : uint8_t {
  // The peer has sent everything and closed.
  kClosed,
  kReset,
  // No connection could be made.
  kNotConnected,
};

// A non-blocking TCP connection on the loop. What is written within one turn
// of the loop leaves in one call. Holds itself until it is closed; its owner
// calls Close() and hears nothing after that.
class TcpConnection final
    : public boost::intrusive_ref_counter<TcpConnection,
                                          boost::thread_unsafe_counter> {
 public:
  struct Handlers {
    std::function<void()> connected;
    // Bytes were added to input().
    std::function<void()> received;
    std::function<void(ConnectionEnd end)> ended;
  };

  // Takes over an accepted socket.
  static boost::intrusive_ptr<TcpConnection> Adopt(EventLoop& loop, int fd);
  // Starts to connect; failures are reported by `ended`, never from within
  // this call.
  static boost::intrusive_ptr<TcpConnection> Connect(
      EventLoop& loop,
      const SocketAddress& address);

  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void SetHandlers(Handlers handlers);
  // Queues bytes; they leave at the end of this turn, or once connected.
  void Send(std::string_view bytes);
  // Sends what is queued and closes the sending side, then the connection once
  // the peer has closed or `linger` is over.
  void CloseWhenSent(Duration linger);
  // Closes at once, dropping what is queued.
  void Close();

  // Received bytes that the owner has not yet removed.
  std::string& input() { return m_input; }
  size_t unsent_bytes() const { return m_output.size() - m_output_sent; }
  bool is_open() const { return m_fd >= 0; }
  bool is_connected() const { return m_is_connected; }
  // Whether any byte was handed to the system for sending.
  bool has_sent() const { return m_has_sent; }
  // Stops or resumes reading, for a peer that sends more than is wanted.
  void SetReading(bool is_reading);

 private:
  TcpConnection(EventLoop& loop, int fd, bool is_connected);

  void UpdateWatch();
  void OnReady(Readiness readiness);
  void OnWritable();
  void OnReadable();
  void Flush();
  void End(ConnectionEnd end);

  EventLoop& m_loop;
  int m_fd;
  bool m_is_connected;
  bool m_has_sent = false;
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
  Handlers m_handlers;
};

using TcpConnectionPtr = boost::intrusive_ptr<TcpConnection>;

}  // namespace pistachiowalk
