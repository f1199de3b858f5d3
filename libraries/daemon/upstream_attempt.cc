#include "daemon/upstream_attempt.h"

#include <fmt/format.h>

#include <charconv>

#include "daemon/chat_format.h"

namespace pistachiowalk {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusServiceUnavailable = 503;
constexpr size_t kMaximumReplyBytes = 8 * 1024 * 1024;
constexpr size_t kMaximumEventBytes = 1024 * 1024;

// Whether the endpoint rejected the call and guarantees that it has not run.
bool IsRejection(int status, const HttpHeaders& headers) {
  const std::string* outcome = FindHeader(headers, "X-Outcome");
  return status == kStatusServiceUnavailable && outcome != nullptr &&
         *outcome == "not-run";
}

// Returns nullopt if the header is missing or not a number.
std::optional<uint32_t> ParseCountHeader(const HttpHeaders& headers,
                                         std::string_view name) {
  const std::string* value = FindHeader(headers, name);
  uint32_t count = 0;
  if (value == nullptr ||
      std::from_chars(value->data(), value->data() + value->size(), count).ec !=
          std::errc()) {
    return std::nullopt;
  }
  return count;
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(AttemptNumber number,
                                 ResponseKind kind,
                                 TokenIndex from_token,
                                 EventCallback callback)
    : m_number(number),
      m_kind(kind),
      m_next_index(from_token),
      m_callback(std::move(callback)) {}

void UpstreamAttempt::Start(HttpClient& client, HttpCallOptions options) {
  const boost::intrusive_ptr<UpstreamAttempt> self(this);
  HttpCallHandlers handlers;
  handlers.on_headers = [self](int status, const HttpHeaders& headers) {
    self->OnHeaders(status, headers);
  };
  handlers.on_data = [self](std::string_view data) { self->OnData(data); };
  handlers.on_done = [self](const HttpCallResult& result) {
    self->OnDone(result);
  };
  m_call = client.Start(std::move(options), std::move(handlers));
}

void UpstreamAttempt::Cancel() {
  m_is_finished = true;
  if (m_call) {
    m_call->Cancel();
  }
}

void UpstreamAttempt::PauseReading() {
  if (m_call && !m_is_finished) {
    m_call->PauseReading();
  }
}

void UpstreamAttempt::ResumeReading() {
  if (m_call && !m_is_finished) {
    m_call->ResumeReading();
  }
}

void UpstreamAttempt::Emit(const RequestEvent& event) {
  if (!m_is_finished) {
    m_callback(event);
  }
}

void UpstreamAttempt::Fail(DispatchCertainty dispatch, std::string detail) {
  if (m_is_finished) {
    return;
  }
  const RequestEvent event = AttemptFailed{
      .attempt = m_number, .dispatch = dispatch, .detail = std::move(detail)};
  Cancel();
  m_callback(event);
}

void UpstreamAttempt::OnHeaders(int status, const HttpHeaders& headers) {
  if (m_is_finished) {
    return;
  }
  m_status = status;
  m_reply.status = status;
  if (const std::string* type = FindHeader(headers, "Content-Type")) {
    m_reply.content_type = *type;
  }
  const std::optional<uint32_t> running =
      ParseCountHeader(headers, "X-Engine-Running");
  if (running && m_on_load) {
    m_on_load(*running,
              ParseCountHeader(headers, "X-Engine-Waiting").value_or(0));
  }
  if (IsRejection(status, headers)) {
    Fail(DispatchCertainty::kNotDispatched, "the endpoint refused the call");
  } else if (m_kind == ResponseKind::kTokenStream && status != kStatusOk) {
    Fail(DispatchCertainty::kMaybeDispatched,
         fmt::format("the endpoint answered {}", status));
  }
}

void UpstreamAttempt::OnData(std::string_view data) {
  if (m_is_finished) {
    return;
  }
  if (m_kind == ResponseKind::kBufferedReply) {
    if (m_reply.body.size() + data.size() > kMaximumReplyBytes) {
      Fail(DispatchCertainty::kMaybeDispatched, "the reply is too large");
      return;
    }
    m_reply.body.append(data);
    return;
  }
  for (const StreamEvent& event : m_decoder.Decode(data)) {
    OnStreamEvent(event);
  }
  if (m_decoder.PendingBytes() > kMaximumEventBytes) {
    Fail(DispatchCertainty::kMaybeDispatched, "an event is too large");
  }
}

void UpstreamAttempt::OnStreamEvent(const StreamEvent& event) {
  if (m_is_finished || event.data == "[DONE]") {
    return;
  }
  const std::optional<EngineChunk> chunk = ParseEngineChunk(event.data);
  if (!chunk) {
    Fail(DispatchCertainty::kMaybeDispatched, "an event is malformed");
    return;
  }
  if (chunk->finish_reason) {
    Emit(GenerationEnded{
        .attempt = m_number,
        .token_count = chunk->token_count.value_or(m_next_index),
        .finish_reason = *chunk->finish_reason});
    return;
  }
  if (chunk->text.empty()) {
    return;
  }
  TokenIndex index = m_next_index;
  if (event.id) {
    std::from_chars(event.id->data(), event.id->data() + event.id->size(),
                    index);
  }
  m_next_index = index + 1;
  Emit(TokenArrived{.attempt = m_number, .index = index, .text = chunk->text});
}

void UpstreamAttempt::OnDone(const HttpCallResult& result) {
  if (m_is_finished) {
    return;
  }
  if (result.status == HttpCallStatus::kNotConnected) {
    Fail(DispatchCertainty::kNotDispatched, result.detail);
    return;
  }
  if (result.status != HttpCallStatus::kComplete ||
      m_kind == ResponseKind::kTokenStream) {
    // NOTE: A finish reason would have ended the attempt before this point, so
    // the stream is truncated.
    Fail(DispatchCertainty::kMaybeDispatched,
         result.detail.empty() ? "the stream was truncated" : result.detail);
    return;
  }
  Emit(ReplyArrived{.attempt = m_number, .reply = m_reply});
}

}  // namespace pistachiowalk
