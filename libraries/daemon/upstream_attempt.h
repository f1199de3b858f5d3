#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <string>

#include "net/event_stream_decoder.h"
#include "net/http_client.h"
#include "request/request_event.h"

namespace pistachiowalk {

// One attempt to serve a request at one endpoint. Translates the endpoint's
// HTTP response into events of the request core.
class UpstreamAttempt final
    : public boost::intrusive_ref_counter<UpstreamAttempt,
                                          boost::thread_unsafe_counter> {
 public:
  using EventCallback = std::function<void(const RequestEvent& event)>;

  // Whether the endpoint streams tokens or sends one response, which is
  // buffered.
  enum class ResponseKind { kTokenStream, kBufferedReply };

  UpstreamAttempt(AttemptNumber number,
                  ResponseKind kind,
                  TokenIndex from_token,
                  EventCallback callback);

  using LoadCallback = std::function<void(uint32_t running, uint32_t waiting)>;

  // Sets the callback for the load that the response headers report.
  void OnLoad(LoadCallback callback) { m_on_load = std::move(callback); }
  void Start(HttpClient& client, HttpCallOptions options);
  void Cancel();
  void PauseReading();
  void ResumeReading();
  AttemptNumber number() const { return m_number; }

 private:
  void OnHeaders(int status, const HttpHeaders& headers);
  void OnData(std::string_view data);
  void OnDone(const HttpCallResult& result);
  void OnStreamEvent(const StreamEvent& event);
  void Fail(DispatchCertainty dispatch, std::string detail);
  void Emit(const RequestEvent& event);

  AttemptNumber m_number;
  ResponseKind m_kind;
  TokenIndex m_next_index;
  EventCallback m_callback;
  LoadCallback m_on_load;
  HttpCallPtr m_call;
  int m_status = 0;
  EventStreamDecoder m_decoder;
  ActionReply m_reply;
  bool m_is_finished = false;
};

using UpstreamAttemptPtr = boost::intrusive_ptr<UpstreamAttempt>;

}  // namespace pistachiowalk
