#include "net/http_client.h"

#include <chrono>
#include <vector>

namespace pistachiowalk {
namespace {

constexpr long kMaximumPooledConnections = 1024;
constexpr Duration kProgressCheckInterval = std::chrono::milliseconds(250);

}  // namespace

HttpClient::HttpClient(EventLoop& loop)
    : m_loop(loop), m_multi(curl_multi_init()) {
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &HttpClient::OnSocket);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &HttpClient::OnTimer);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaximumPooledConnections);
  ScheduleProgressCheck();
}

HttpClient::~HttpClient() {
  m_loop.Cancel(m_timer);
  m_loop.Cancel(m_progress_timer);
  for (const HttpCallPtr& call : m_calls) {
    call->m_is_cancelled = true;
    call->m_handlers = {};
    curl_multi_remove_handle(m_multi, call->m_easy);
  }
  m_calls.clear();
  curl_multi_cleanup(m_multi);
}

HttpCallPtr HttpClient::Start(HttpCallOptions options,
                              HttpCallHandlers handlers) {
  HttpCallPtr call(
      new HttpCall(*this, std::move(options), std::move(handlers)));
  m_calls.insert(call);
  // NOTE: Added from the loop because libcurl rejects calls made from within
  // its callbacks.
  m_loop.Post([this, call] {
    if (!call->m_is_cancelled) {
      curl_multi_add_handle(m_multi, call->m_easy);
    }
  });
  return call;
}

void HttpClient::Release(const HttpCallPtr& call) {
  m_loop.Post([this, call] {
    if (m_calls.erase(call) > 0) {
      curl_multi_remove_handle(m_multi, call->m_easy);
    }
    // Breaks a reference cycle: handlers usually hold their owner, which holds
    // the call.
    call->m_handlers = {};
  });
}

void HttpClient::Unpause(const HttpCallPtr& call) {
  m_loop.Post([this, call] {
    if (m_calls.contains(call) && !call->m_is_cancelled) {
      curl_easy_pause(call->m_easy, CURLPAUSE_CONT);
      CollectFinished();
    }
  });
}

int HttpClient::OnSocket(CURL* /*easy*/,
                         curl_socket_t fd,
                         int what,
                         void* client,
                         void* /*socket*/) {
  auto* self = static_cast<HttpClient*>(client);
  if (what == CURL_POLL_REMOVE) {
    self->m_loop.Unwatch(fd);
    return 0;
  }
  const Readiness interest{
      .readable = what == CURL_POLL_IN || what == CURL_POLL_INOUT,
      .writable = what == CURL_POLL_OUT || what == CURL_POLL_INOUT};
  self->m_loop.Watch(fd, interest, [self](int ready_fd, Readiness ready) {
    const int events = (ready.readable ? CURL_CSELECT_IN : 0) |
                       (ready.writable ? CURL_CSELECT_OUT : 0);
    self->Advance(ready_fd, events);
  });
  return 0;
}

int HttpClient::OnTimer(CURLM* /*multi*/, long timeout_ms, void* client) {
  auto* self = static_cast<HttpClient*>(client);
  self->m_loop.Cancel(self->m_timer);
  self->m_timer = 0;
  if (timeout_ms < 0) {
    return 0;
  }
  self->m_timer =
      self->m_loop.Schedule(std::chrono::milliseconds(timeout_ms), [self] {
        self->m_timer = 0;
        self->Advance(CURL_SOCKET_TIMEOUT, 0);
      });
  return 0;
}

void HttpClient::Advance(curl_socket_t fd, int events) {
  int running = 0;
  curl_multi_socket_action(m_multi, fd, events, &running);
  CollectFinished();
}

void HttpClient::CollectFinished() {
  struct Finished {
    HttpCallPtr call;
    CURLcode code;
  };
  std::vector<Finished> finished;
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    HttpCall* call = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
    finished.push_back({HttpCallPtr(call), message->data.result});
  }
  for (const Finished& item : finished) {
    if (m_calls.erase(item.call) == 0) {
      continue;
    }
    curl_multi_remove_handle(m_multi, item.call->m_easy);
    if (!item.call->m_is_cancelled) {
      item.call->Complete(item.code);
    }
  }
}

void HttpClient::ScheduleProgressCheck() {
  m_progress_timer = m_loop.Schedule(kProgressCheckInterval, [this] {
    CheckProgress();
    ScheduleProgressCheck();
  });
}

void HttpClient::CheckProgress() {
  const auto now = std::chrono::steady_clock::now();
  std::vector<HttpCallPtr> overdue;
  for (const HttpCallPtr& call : m_calls) {
    if (!call->m_is_cancelled && call->IsProgressOverdue(now)) {
      overdue.push_back(call);
    }
  }
  for (const HttpCallPtr& call : overdue) {
    call->m_is_timed_out = true;
    m_calls.erase(call);
    curl_multi_remove_handle(m_multi, call->m_easy);
    call->Complete(CURLE_OPERATION_TIMEDOUT);
  }
}

}  // namespace pistachiowalk
