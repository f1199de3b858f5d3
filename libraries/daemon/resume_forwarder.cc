#include "daemon/resume_forwarder.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <utility>

#include "daemon/problem_response.h"

namespace pistachiowalk {
namespace {

constexpr int kStatusNotFound = 404;
constexpr std::chrono::milliseconds kConnectTimeout{300};

// Forwards one resume request and relays the response.
class ResumeForwarder final
    : public boost::intrusive_ref_counter<ResumeForwarder,
                                          boost::thread_unsafe_counter> {
 public:
  ResumeForwarder(HttpClient& client,
                  HttpExchangePtr exchange,
                  ResumeRequest request)
      : m_client(client),
        m_exchange(std::move(exchange)),
        m_request(std::move(request)),
        m_authorization(m_exchange->Header("Authorization")),
        m_last_event_id(m_exchange->Header("Last-Event-ID")) {}

  void TryNextNode();

 private:
  void OnHeaders(int status, const HttpHeaders& headers);
  void OnDone(const HttpCallResult& result);

  HttpClient& m_client;
  HttpExchangePtr m_exchange;
  ResumeRequest m_request;
  std::string m_authorization;
  std::string m_last_event_id;
  size_t m_next_node = 0;
  bool m_is_relaying = false;
  HttpCallPtr m_current_call;
};

void ResumeForwarder::TryNextNode() {
  m_is_relaying = false;
  if (m_next_node == m_request.node_urls.size()) {
    m_exchange->Respond(ProblemResponse(
        Problem{.kind = ProblemKind::kUnknownRequest,
                .outcome = RunOutcome::kUnknown,
                .detail = "no node asked holds this request any more",
                .retry_after = {}},
        m_request.request_id));
    return;
  }
  HttpCallOptions options;
  options.url = m_request.node_urls[m_next_node++] + "/v1/requests/" +
                m_request.request_id +
                "?hops=" + std::to_string(m_request.hops);
  options.headers = {{"Authorization", m_authorization}};
  if (!m_last_event_id.empty()) {
    options.headers.push_back({"Last-Event-ID", m_last_event_id});
  }
  options.connect_timeout = kConnectTimeout;
  const boost::intrusive_ptr<ResumeForwarder> self(this);
  HttpCallHandlers handlers;
  handlers.on_headers = [self](int status, const HttpHeaders& headers) {
    self->OnHeaders(status, headers);
  };
  handlers.on_data = [self](std::string_view data) {
    if (self->m_is_relaying) {
      self->m_exchange->Write(data);
    }
  };
  handlers.on_done = [self](const HttpCallResult& result) {
    self->OnDone(result);
  };
  m_current_call = m_client.Start(std::move(options), std::move(handlers));
  m_exchange->OnClosed([self](bool) { self->m_current_call->Cancel(); });
}

void ResumeForwarder::OnHeaders(int status, const HttpHeaders& headers) {
  if (status == kStatusNotFound || status >= 500) {
    return;
  }
  m_is_relaying = true;
  HttpHeaders forwarded_headers;
  for (const char* name :
       {"Content-Type", "Cache-Control", "X-Request-Id", "X-Outcome"}) {
    if (const std::string* value = FindHeader(headers, name)) {
      forwarded_headers.push_back({name, *value});
    }
  }
  m_exchange->StartStream(status, std::move(forwarded_headers));
}

void ResumeForwarder::OnDone(const HttpCallResult& result) {
  if (!m_is_relaying) {
    TryNextNode();
  } else if (result.status == HttpCallStatus::kComplete) {
    m_exchange->Finish();
  } else {
    m_exchange->Abort();
  }
}

}  // namespace

void ForwardResume(HttpClient& client,
                   const HttpExchangePtr& exchange,
                   ResumeRequest request) {
  const boost::intrusive_ptr<ResumeForwarder> forwarder(
      new ResumeForwarder(client, exchange, std::move(request)));
  forwarder->TryNextNode();
}

}  // namespace pistachiowalk
