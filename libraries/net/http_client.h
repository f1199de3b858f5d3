#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <set>

#include "net/event_loop.h"
#include "net/http_call.h"

namespace pistachiowalk {

// An HTTP/1.1 client on an event loop, built on libcurl's multi interface.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. Callbacks run from the loop, never from within this
  // function.
  HttpCallPtr Start(HttpCallOptions options, HttpCallHandlers handlers);
  size_t OpenCalls() const { return m_calls.size(); }

 private:
  friend class HttpCall;

  static int OnSocket(CURL* easy,
                      curl_socket_t fd,
                      int what,
                      void* client,
                      void* socket);
  static int OnTimer(CURLM* multi, long timeout_ms, void* client);

  void Release(const HttpCallPtr& call);
  void Unpause(const HttpCallPtr& call);
  void Advance(curl_socket_t fd, int events);
  void CollectFinished();
  void ScheduleProgressCheck();
  void CheckProgress();

  EventLoop& m_loop;
  CURLM* m_multi;
  TimerId m_timer = 0;
  TimerId m_progress_timer = 0;
  std::set<HttpCallPtr> m_calls;
};

}  // namespace pistachiowalk
