#include "load/stream_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace pistachiowalk {
namespace {

namespace json = boost::json;

constexpr int kStatusOk = 200;
constexpr std::chrono::milliseconds kProgressTimeout{12000};
constexpr Duration kResumeDelay = std::chrono::milliseconds(50);
constexpr uint64_t kMaximumResumeAttempts = 40;

// Text of the token in a chunk, or "" if the chunk has none.
std::string ChunkText(const std::string& data) {
  json::error_code error;
  const json::value document = json::parse(data, error);
  if (error) {
    return "";
  }
  const json::value* content =
      document.find_pointer("/choices/0/delta/content", error);
  return content != nullptr && content->is_string()
             ? std::string(content->get_string())
             : "";
}

}  // namespace

StreamClient::StreamClient(StreamRequest request,
                           ExpectedToken expected,
                           DoneCallback on_done)
    : m_request(std::move(request)),
      m_expected(std::move(expected)),
      m_on_done(std::move(on_done)) {}

void StreamClient::Start(EventLoop& loop, HttpClient& client) {
  m_loop = &loop;
  m_client = &client;
  const json::array messages{
      json::object{{"role", "user"}, {"content", m_request.prompt}}};
  m_messages = json::serialize(messages);
  HttpCallOptions options;
  options.method = "POST";
  options.url = m_request.url + "/v1/chat/completions";
  options.headers = {{"Content-Type", "application/json"}};
  options.body = json::serialize(json::object{{"model", m_request.service},
                                              {"messages", messages},
                                              {"max_tokens", m_request.tokens},
                                              {"stream", true}});
  m_started_at = std::chrono::steady_clock::now();
  Send(std::move(options));
}

void StreamClient::Send(HttpCallOptions options) {
  options.headers.push_back(
      {"Authorization", "Bearer " + m_request.customer_key});
  options.progress_timeout = kProgressTimeout;
  m_status = 0;
  m_decoder = EventStreamDecoder();
  const auto self = shared_from_this();
  HttpCallHandlers handlers;
  handlers.on_headers = [self](int status, const HttpHeaders& headers) {
    self->OnHeaders(status, headers);
  };
  handlers.on_data = [self](std::string_view data) { self->OnData(data); };
  handlers.on_done = [self](const HttpCallResult& result) {
    self->OnDone(result);
  };
  m_client->Start(std::move(options), std::move(handlers));
}

// Requests the rest of the stream by request id, starting after the last token
// received.
void StreamClient::Resume() {
  HttpCallOptions options;
  options.url = m_request.next_url() + "/v1/requests/" + m_report.request_id;
  if (m_report.tokens > 0) {
    options.headers = {{"Last-Event-ID", std::to_string(m_report.tokens - 1)}};
  }
  m_report.detail.clear();
  Send(std::move(options));
}

bool StreamClient::CanResume(const HttpCallResult& result) const {
  const bool is_over = m_has_wrong_token || m_has_problem || m_is_finished;
  const bool is_complete_refusal =
      result.status == HttpCallStatus::kComplete && m_status != kStatusOk;
  return m_request.next_url && !m_report.request_id.empty() && !is_over &&
         !is_complete_refusal && m_resume_attempts < kMaximumResumeAttempts;
}

void StreamClient::OnHeaders(int status, const HttpHeaders& headers) {
  m_status = status;
  if (const std::string* id = FindHeader(headers, "X-Request-Id")) {
    m_report.request_id = *id;
  }
}

void StreamClient::OnData(std::string_view data) {
  if (m_status != kStatusOk) {
    m_report.detail.append(data);
    return;
  }
  for (const StreamEvent& event : m_decoder.Decode(data)) {
    OnEvent(event);
  }
}

void StreamClient::OnEvent(const StreamEvent& event) {
  if (event.data == "[DONE]") {
    m_is_finished = true;
    return;
  }
  if (!event.id) {
    if (event.data.starts_with("{\"error\"")) {
      m_has_problem = true;
      m_report.detail = event.data;
    }
    return;
  }
  uint64_t index = 0;
  std::from_chars(event.id->data(), event.id->data() + event.id->size(), index);
  OnToken(index, ChunkText(event.data));
}

void StreamClient::OnToken(uint64_t index, const std::string& text) {
  const TimePoint now = std::chrono::steady_clock::now();
  if (m_report.tokens == 0) {
    m_report.time_to_first_token = now - m_started_at;
  } else {
    m_report.token_gaps.Add(now - m_last_token_at);
  }
  m_last_token_at = now;
  if (m_is_resuming) {
    m_is_resuming = false;
    m_report.longest_resume_gap =
        std::max(m_report.longest_resume_gap, now - m_interrupted_at);
  }
  if (index != m_report.tokens || text != m_expected(m_messages, index)) {
    m_has_wrong_token = true;
    m_report.detail =
        fmt::format("expected token {}, received token {} with text \"{}\"",
                    m_report.tokens, index, text);
  }
  ++m_report.tokens;
}

void StreamClient::OnDone(const HttpCallResult& result) {
  if (CanResume(result)) {
    if (!m_is_resuming) {
      m_is_resuming = true;
      m_interrupted_at = std::chrono::steady_clock::now();
      ++m_report.resumes;
    }
    ++m_resume_attempts;
    const auto self = shared_from_this();
    m_loop->Schedule(kResumeDelay, [self] { self->Resume(); });
    return;
  }
  const bool is_accepted = !m_report.request_id.empty();
  if (m_has_wrong_token) {
    m_report.outcome = StreamOutcome::kWrongTokens;
  } else if (m_is_finished && m_report.tokens == m_request.tokens) {
    m_report.outcome = StreamOutcome::kComplete;
  } else if (is_accepted &&
             (m_has_problem || (m_status != 0 && m_status != kStatusOk))) {
    m_report.outcome = StreamOutcome::kReportedProblem;
  } else if (is_accepted || m_report.tokens > 0) {
    m_report.outcome = StreamOutcome::kBroken;
  }
  if (m_report.detail.empty()) {
    m_report.detail = result.detail;
  }
  m_on_done(m_report);
}

}  // namespace pistachiowalk
