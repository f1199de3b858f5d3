#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/http_headers.h"

struct MHD_Connection;
struct MHD_Response;

namespace pistachiowalk {

class HttpServer;

// A complete HTTP response.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;

  friend auto operator<=>(const HttpResponse&, const HttpResponse&) = default;
};

// One client request and the response to it. The response is sent once, either
// by Respond() or by StartStream(), Write() and Finish(). Calls made after the
// client has disconnected have no effect.
class HttpExchange final
    : public boost::intrusive_ref_counter<HttpExchange,
                                          boost::thread_unsafe_counter> {
 public:
  HttpExchange(HttpServer& server,
               MHD_Connection* connection,
               std::string_view target);
  ~HttpExchange();

  const std::string& method() const { return m_method; }
  // Path as received, not percent-decoded.
  const std::string& path() const { return m_path; }
  const std::string& body() const { return m_body; }
  // Value of a request header, or "" if it is absent.
  std::string Header(const char* name) const;
  // Value of a query argument, or "" if it is absent.
  std::string QueryArgument(const char* name) const;
  // Query as received, including the question mark, or "".
  const std::string& Query() const { return m_query; }
  // Whether the body was discarded because it exceeded the server's limit.
  bool IsBodyTooLarge() const { return m_is_body_too_large; }
  // Whether the body was discarded because the bodies of all requests together
  // take too much memory.
  bool HasNoRoomForBody() const { return m_has_no_room_for_body; }

  void Respond(HttpResponse response);
  void StartStream(int status, HttpHeaders headers);
  void Write(std::string_view data);
  void Finish();
  // Closes the connection early, so that the client sees a truncated response.
  void Abort();

  bool IsOpen() const { return m_connection != nullptr; }
  bool IsAnswered() const { return m_is_answered; }
  // Bytes written but not yet passed to the client's connection.
  size_t BufferedBytes() const { return m_buffer.size() - m_buffer_offset; }

  // `callback` is called once, at the end of the exchange; `is_complete` tells
  // whether the whole response was passed to the connection.
  void OnClosed(std::function<void(bool is_complete)> callback) {
    m_on_closed = std::move(callback);
  }
  // `callback` is called each time the write buffer becomes empty.
  void OnDrained(std::function<void()> callback) {
    m_on_drained = std::move(callback);
  }

 private:
  friend class HttpServer;

  static ssize_t ReadStream(void* exchange,
                            uint64_t position,
                            char* buffer,
                            size_t size);
  void ResumeConnection();
  void SuspendConnection();
  void SetResponse(MHD_Response* response,
                   int status,
                   const HttpHeaders& headers);
  void Close(bool is_complete);
  // Moves the body to an allocation of `bytes`, which is shorter than the body
  // only if it is discarded.
  void ReallocateBody(size_t bytes);

  HttpServer& m_server;
  MHD_Connection* m_connection;
  MHD_Response* m_response = nullptr;
  int m_status = 0;
  std::string m_method;
  std::string m_path;
  std::string m_query;
  std::string m_body;
  std::string m_buffer;
  size_t m_buffer_offset = 0;
  bool m_is_handled = false;
  bool m_is_body_too_large = false;
  bool m_has_no_room_for_body = false;
  // Memory counted in `m_held_body_bytes`, that of the server's exchanges.
  size_t m_body_allocated = 0;
  std::shared_ptr<size_t> m_held_body_bytes;
  bool m_is_answered = false;
  bool m_is_queued = false;
  bool m_is_suspended = false;
  bool m_is_finished = false;
  bool m_is_aborted = false;
  std::function<void(bool)> m_on_closed;
  std::function<void()> m_on_drained;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;

}  // namespace pistachiowalk
