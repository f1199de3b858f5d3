#include "net/http_call.h"

#include <strings.h>

#include "net/http_client.h"

namespace pistachiowalk {
namespace {

// Streamed tokens are small. libcurl's default of 16 KB for each open stream
// would take most of a node's memory.
constexpr long kReceiveBufferBytes = 4096;

std::string_view TrimWhitespace(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

}  // namespace

const std::string* FindHeader(const HttpHeaders& headers,
                              std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name.size() == name.size() &&
        strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
      return &header.value;
    }
  }
  return nullptr;
}

HttpCall::HttpCall(HttpClient& client,
                   HttpCallOptions options,
                   HttpCallHandlers handlers)
    : m_client(client),
      m_options(std::move(options)),
      m_handlers(std::move(handlers)),
      m_easy(curl_easy_init()),
      m_last_progress(std::chrono::steady_clock::now()) {
  Configure();
}

HttpCall::~HttpCall() {
  curl_easy_cleanup(m_easy);
  curl_slist_free_all(m_request_headers);
}

void HttpCall::Configure() {
  for (const HttpHeader& header : m_options.headers) {
    const std::string line = header.name + ": " + header.value;
    m_request_headers = curl_slist_append(m_request_headers, line.c_str());
  }
  // NOTE: Removes the Expect header; with it libcurl waits up to one second for
  // "100 Continue".
  m_request_headers = curl_slist_append(m_request_headers, "Expect:");
  curl_easy_setopt(m_easy, CURLOPT_URL, m_options.url.c_str());
  curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
  curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, m_options.method.c_str());
  curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_request_headers);
  curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(m_options.connect_timeout.count()));
  if (m_options.total_timeout) {
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(m_options.total_timeout->count()));
  }
  if (m_options.method == "HEAD") {
    curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
  } else if (!m_options.body.empty() || m_options.method == "POST" ||
             m_options.method == "PUT") {
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(m_options.body.size()));
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_options.body.data());
  }
  if (m_options.reuse == ConnectionReuse::kForbidden) {
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
  }
  curl_easy_setopt(m_easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &HttpCall::OnHeader);
  curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &HttpCall::OnBody);
  curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
}

size_t HttpCall::OnHeader(char* data, size_t size, size_t count, void* call) {
  auto* self = static_cast<HttpCall*>(call);
  const std::string_view line(data, size * count);
  self->m_last_progress = std::chrono::steady_clock::now();
  if (line.starts_with("HTTP/")) {
    self->m_response_headers.clear();
    return line.size();
  }
  const size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    self->m_response_headers.push_back(HttpHeader{
        .name = std::string(TrimWhitespace(line.substr(0, colon))),
        .value = std::string(TrimWhitespace(line.substr(colon + 1)))});
  }
  return line.size();
}

size_t HttpCall::OnBody(char* data, size_t size, size_t count, void* call) {
  auto* self = static_cast<HttpCall*>(call);
  if (self->m_is_cancelled) {
    return 0;
  }
  if (self->m_is_paused) {
    return CURL_WRITEFUNC_PAUSE;
  }
  self->m_last_progress = std::chrono::steady_clock::now();
  self->DeliverHeaders();
  if (self->m_handlers.on_data && !self->m_is_cancelled) {
    self->m_handlers.on_data(std::string_view(data, size * count));
  }
  return size * count;
}

void HttpCall::DeliverHeaders() {
  if (m_are_headers_delivered) {
    return;
  }
  m_are_headers_delivered = true;
  long status = 0;
  curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
  if (m_handlers.on_headers) {
    m_handlers.on_headers(static_cast<int>(status), m_response_headers);
  }
}

void HttpCall::Cancel() {
  if (m_is_cancelled) {
    return;
  }
  m_is_cancelled = true;
  m_client.Release(HttpCallPtr(this));
}

void HttpCall::PauseReading() {
  m_is_paused = true;
}

void HttpCall::ResumeReading() {
  if (!m_is_paused || m_is_cancelled) {
    return;
  }
  m_is_paused = false;
  m_last_progress = std::chrono::steady_clock::now();
  m_client.Unpause(HttpCallPtr(this));
}

bool HttpCall::IsProgressOverdue(
    std::chrono::steady_clock::time_point now) const {
  return !m_is_paused && now - m_last_progress > m_options.progress_timeout;
}

void HttpCall::Complete(CURLcode code) {
  HttpCallResult result;
  long status = 0;
  curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
  result.http_status = static_cast<int>(status);
  if (m_is_timed_out) {
    result.status = HttpCallStatus::kTimedOut;
    result.detail = "no progress";
  } else if (code == CURLE_OK) {
    result.status = HttpCallStatus::kComplete;
    DeliverHeaders();
  } else {
    result.detail = curl_easy_strerror(code);
    if (code == CURLE_COULDNT_CONNECT) {
      result.status = HttpCallStatus::kNotConnected;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
      curl_off_t connected_us = 0;
      curl_easy_getinfo(m_easy, CURLINFO_PRETRANSFER_TIME_T, &connected_us);
      result.status = connected_us == 0 ? HttpCallStatus::kNotConnected
                                        : HttpCallStatus::kTimedOut;
    }
  }
  // NOTE: Moved out to break a reference cycle: handlers usually hold their
  // owner, which holds this call.
  const HttpCallHandlers handlers = std::move(m_handlers);
  m_handlers = {};
  if (handlers.on_done && !m_is_cancelled) {
    handlers.on_done(result);
  }
}

}  // namespace pistachiowalk
