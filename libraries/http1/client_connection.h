#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http1/message_parser.h"
#include "http1/tcp_connection.h"

namespace pistachiowalk {

// How the response to a request on a client connection ended.
enum class ResponseEnd : uint8_t {
  kComplete,
  // The connection could not be established; the peer received nothing.
  kNotConnected,
  // The connection ended before any byte of a response.
  kNoResponse,
  // The connection ended within the response.
  kBrokenResponse,
  // The peer sent what is no valid response, and the connection was closed.
  kInvalidResponse,
};

// The client side of one HTTP/1.1 connection. Carries one request at a time.
class ClientConnection final
    : public boost::intrusive_ref_counter<ClientConnection,
                                          boost::thread_unsafe_counter> {
 public:
  // Called in this order: `head`, then `body` any number of times, and finally
  // `end`, exactly once.
  struct ResponseHandlers {
    // Returns whether the response belongs to the request. A response that does
    // not is read to its end and discarded, and the next one is awaited.
    std::function<bool(const ResponseHead& head)> head;
    std::function<void(std::string_view bytes)> body;
    std::function<void(ResponseEnd end)> end;
  };

  ClientConnection(TcpConnectionPtr connection, const ParseLimits& limits);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Sends one serialized request, followed by `body` if there is one. No other
  // request may be in progress. Unless it expects a body, as a HEAD request
  // does not, the response ends with its head.
  void Send(std::string_view request,
            ResponseHandlers handlers,
            bool expects_body = true,
            SharedBytes body = nullptr);
  // Abandons the request and closes the connection. No handler is called after
  // this.
  void Close();
  // `handler` is called when an idle connection ends or receives unsolicited
  // bytes.
  void SetIdleEndHandler(std::function<void()> handler) {
    m_idle_end = std::move(handler);
  }

  // Whether another request may be sent: the connection is open and persistent,
  // no request is in progress, and no received bytes are unread.
  bool CanReuse() const;
  bool is_open() const { return m_connection->is_open(); }
  bool is_connected() const { return m_connection->is_connected(); }
  bool has_sent() const { return m_connection->has_sent(); }
  void SetReading(bool is_reading) { m_connection->SetReading(is_reading); }

 private:
  void OnReceived();
  void OnEnded(ConnectionEnd end);
  void StartParser();
  void Parse();
  void Deliver();
  // Ends the request, as what the peer sends is no valid response.
  void Reject();
  void Finish(ResponseEnd end);

  TcpConnectionPtr m_connection;
  ParseLimits m_limits;
  std::unique_ptr<ResponseParser> m_parser;
  ResponseHandlers m_handlers;
  std::function<void()> m_idle_end;
  bool m_expects_body = true;
  bool m_is_busy = false;
  bool m_has_response = false;
  bool m_head_delivered = false;
  bool m_discards_response = false;
  uint32_t m_discarded_responses = 0;
  bool m_keeps_connection = true;
};

using ClientConnectionPtr = boost::intrusive_ptr<ClientConnection>;

}  // namespace pistachiowalk
