#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http1/message_parser.h"
#include "http1/tcp_connection.h"

namespace pistachiowalk {

class ServerConnection;

// One request of a connection and the way to answer it. After the connection
// has ended, answering does nothing.
class ServerExchange final
    : public boost::intrusive_ref_counter<ServerExchange,
                                          boost::thread_unsafe_counter> {
 public:
  ServerExchange(ServerConnection& connection,
                 RequestHead head,
                 std::string body)
      : m_connection(&connection),
        m_head(std::move(head)),
        m_body(std::move(body)) {}

  const RequestHead& head() const { return m_head; }
  const std::string& body() const { return m_body; }
  bool is_open() const { return m_connection != nullptr; }
  bool has_begun() const { return m_has_begun; }
  // Bytes that the caller has not taken yet.
  size_t unsent_bytes() const;

  // Called once when the caller goes away before the answer is complete.
  void SetDisconnectHandler(std::function<void()> handler) {
    m_on_disconnect = std::move(handler);
  }

  // Sends a whole answer.
  void Respond(int status, const HttpHeaders& headers, std::string_view body);
  // Begins an answer whose length is not known.
  void Begin(int status, std::string_view reason, const HttpHeaders& headers);
  void SendChunk(std::string_view bytes);
  void Finish();
  // Breaks the connection off, so that the answer cannot look complete.
  void Abort();

 private:
  friend class ServerConnection;

  ServerConnection* m_connection;
  RequestHead m_head;
  std::string m_body;
  std::function<void()> m_on_disconnect;
  bool m_has_begun = false;
  bool m_is_finished = false;
};

using ServerExchangePtr = boost::intrusive_ptr<ServerExchange>;

// Limits on what a client may send and how long it may take.
struct ServerLimits {
  ParseLimits parse;
  // From the first byte of a request to the end of its header.
  Duration header_timeout = std::chrono::seconds(5);
  // Time without any request.
  Duration idle_timeout = std::chrono::seconds(60);

  friend bool operator==(const ServerLimits& a, const ServerLimits& b) {
    return a.parse.header_bytes == b.parse.header_bytes &&
           a.parse.body_bytes == b.parse.body_bytes &&
           a.header_timeout == b.header_timeout &&
           a.idle_timeout == b.idle_timeout;
  }
};

// The server's side of one HTTP/1.1 connection. Requests are answered one
// after the other; what a client sends ahead waits.
class ServerConnection final
    : public boost::intrusive_ref_counter<ServerConnection,
                                          boost::thread_unsafe_counter> {
 public:
  using RequestHandler = std::function<void(const ServerExchangePtr&)>;
  using EndHandler = std::function<void(ServerConnection&)>;

  ServerConnection(TcpConnectionPtr connection,
                   ServerLimits limits,
                   RequestHandler on_request,
                   EndHandler on_end);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Starts to read; `now` begins the idle time.
  void Start(TimePoint now);
  // Closes a connection that is too slow or idle for too long; call it often.
  void CheckTimeouts(TimePoint now);
  // Ends the connection after its next answer.
  void CloseAfterResponse() { m_closes_after_response = true; }
  // Ends the connection after the answer in progress, or at once when idle.
  void CloseWhenIdle();
  void Close();

  void SetLimits(const ServerLimits& limits) { m_limits = limits; }
  bool is_idle() const { return !m_exchange && !m_parser->has_started(); }

 private:
  friend class ServerExchange;

  void OnReceived();
  void OnEnded();
  void ParseNext();
  void Refuse(ParseError error);
  // Writes the answer's head; `body_size` is nullopt for a chunked body.
  void SendHead(int status,
                std::string_view reason,
                const HttpHeaders& headers,
                std::optional<size_t> body_size);
  void FinishExchange();
  void DropExchange();
  void End();

  TcpConnectionPtr m_connection;
  ServerLimits m_limits;
  RequestHandler m_on_request;
  EndHandler m_on_end;
  std::unique_ptr<RequestParser> m_parser;
  ServerExchangePtr m_exchange;
  TimePoint m_idle_since{};
  std::optional<TimePoint> m_request_since;
  TimePoint m_now{};
  bool m_closes_after_response = false;
  bool m_is_parsing = false;
};

using ServerConnectionPtr = boost::intrusive_ptr<ServerConnection>;

}  // namespace pistachiowalk
