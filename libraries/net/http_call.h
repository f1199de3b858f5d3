#pragma once

#include <curl/curl.h>

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "net/http_headers.h"

namespace pistachiowalk {

class HttpClient;

// Whether a call may be sent on a pooled connection.
enum class ConnectionReuse {
  kAllowed,
  // For calls that must not be repeated: libcurl silently sends a request
  // again if a pooled connection turns out to be closed.
  kForbidden,
};

struct HttpCallOptions {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  ConnectionReuse reuse = ConnectionReuse::kAllowed;
  std::chrono::milliseconds connect_timeout{1000};
  // Limit on the duration of the whole call; unset for streams.
  std::optional<std::chrono::milliseconds> total_timeout;
  // A call that receives no bytes for this long fails with kTimedOut.
  std::chrono::milliseconds progress_timeout{15000};
};

enum class HttpCallStatus {
  kComplete,
  // The connection could not be established, so the server never received the
  // request.
  kNotConnected,
  kTimedOut,
  // The connection failed, or the response was truncated or malformed.
  kBroken,
};

struct HttpCallResult {
  HttpCallStatus status = HttpCallStatus::kBroken;
  // HTTP status code; 0 if none was received.
  int http_status = 0;
  std::string detail;

  friend auto operator<=>(const HttpCallResult&,
                          const HttpCallResult&) = default;
};

// Callbacks of a call. None of them is called after Cancel().
struct HttpCallHandlers {
  std::function<void(int status, const HttpHeaders& headers)> on_headers;
  std::function<void(std::string_view data)> on_data;
  std::function<void(const HttpCallResult& result)> on_done;
};

// One HTTP request to another server. Its client keeps it alive until it has
// finished.
class HttpCall final
    : public boost::intrusive_ref_counter<HttpCall,
                                          boost::thread_unsafe_counter> {
 public:
  HttpCall(HttpClient& client,
           HttpCallOptions options,
           HttpCallHandlers handlers);
  ~HttpCall();

  // Aborts the call and closes its connection.
  void Cancel();
  // Pause and resume reading the response, for backpressure.
  void PauseReading();
  void ResumeReading();

 private:
  friend class HttpClient;

  static size_t OnHeader(char* data, size_t size, size_t count, void* call);
  static size_t OnBody(char* data, size_t size, size_t count, void* call);

  void Configure();
  void DeliverHeaders();
  void Complete(CURLcode code);
  bool IsProgressOverdue(std::chrono::steady_clock::time_point now) const;

  HttpClient& m_client;
  HttpCallOptions m_options;
  HttpCallHandlers m_handlers;
  CURL* m_easy = nullptr;
  curl_slist* m_request_headers = nullptr;
  HttpHeaders m_response_headers;
  std::chrono::steady_clock::time_point m_last_progress;
  bool m_are_headers_delivered = false;
  bool m_is_cancelled = false;
  bool m_is_timed_out = false;
  bool m_is_paused = false;
};

using HttpCallPtr = boost::intrusive_ptr<HttpCall>;

}  // namespace pistachiowalk
