#include "net/http_exchange.h"

#include <microhttpd.h>

#include <algorithm>
#include <cstring>

#include "net/http_server.h"

namespace pistachiowalk {
namespace {

constexpr size_t kStreamBlockBytes = 4096;

}  // namespace

HttpExchange::HttpExchange(HttpServer& server,
                           MHD_Connection* connection,
                           std::string_view target)
    : m_server(server),
      m_connection(connection),
      m_held_body_bytes(server.m_held_body_bytes) {
  const size_t question_mark = target.find('?');
  m_path = target.substr(0, question_mark);
  if (question_mark != std::string_view::npos) {
    m_query = target.substr(question_mark);
  }
}

HttpExchange::~HttpExchange() {
  *m_held_body_bytes -= m_body_allocated;
  if (m_response != nullptr) {
    MHD_destroy_response(m_response);
  }
}

void HttpExchange::ReallocateBody(size_t bytes) {
  // NOTE: reserve() would at least double the allocation.
  std::string moved;
  moved.reserve(bytes);
  if (bytes >= m_body.size()) {
    moved += m_body;
  }
  m_body.swap(moved);
  *m_held_body_bytes += bytes - m_body_allocated;
  m_body_allocated = bytes;
}

std::string HttpExchange::Header(const char* name) const {
  if (m_connection == nullptr) {
    return "";
  }
  const char* value =
      MHD_lookup_connection_value(m_connection, MHD_HEADER_KIND, name);
  return value == nullptr ? "" : value;
}

std::string HttpExchange::QueryArgument(const char* name) const {
  if (m_connection == nullptr) {
    return "";
  }
  const char* value =
      MHD_lookup_connection_value(m_connection, MHD_GET_ARGUMENT_KIND, name);
  return value == nullptr ? "" : value;
}

void HttpExchange::SetResponse(MHD_Response* response,
                               int status,
                               const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    MHD_add_response_header(response, header.name.c_str(),
                            header.value.c_str());
  }
  m_response = response;
  m_status = status;
  m_is_answered = true;
  ResumeConnection();
}

void HttpExchange::Respond(HttpResponse response) {
  if (!IsOpen() || m_is_answered) {
    return;
  }
  m_is_finished = true;
  SetResponse(
      MHD_create_response_from_buffer(
          response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY),
      response.status, response.headers);
}

void HttpExchange::StartStream(int status, HttpHeaders headers) {
  if (!IsOpen() || m_is_answered) {
    return;
  }
  SetResponse(MHD_create_response_from_callback(
                  MHD_SIZE_UNKNOWN, kStreamBlockBytes,
                  &HttpExchange::ReadStream, this, nullptr),
              status, headers);
}

void HttpExchange::Write(std::string_view data) {
  if (!IsOpen() || m_is_finished) {
    return;
  }
  m_buffer.append(data);
  ResumeConnection();
}

void HttpExchange::Finish() {
  m_is_finished = true;
  ResumeConnection();
}

void HttpExchange::Abort() {
  m_is_aborted = true;
  m_is_finished = true;
  ResumeConnection();
}

ssize_t HttpExchange::ReadStream(void* exchange,
                                 uint64_t /*position*/,
                                 char* buffer,
                                 size_t size) {
  auto* self = static_cast<HttpExchange*>(exchange);
  if (self->m_is_aborted) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const size_t count = std::min(size, self->BufferedBytes());
  if (count > 0) {
    std::memcpy(buffer, self->m_buffer.data() + self->m_buffer_offset, count);
    self->m_buffer_offset += count;
    if (self->BufferedBytes() == 0) {
      self->m_buffer.clear();
      self->m_buffer_offset = 0;
      if (self->m_on_drained) {
        self->m_on_drained();
      }
    }
    return static_cast<ssize_t>(count);
  }
  if (self->m_is_finished) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  self->SuspendConnection();
  return 0;
}

void HttpExchange::SuspendConnection() {
  MHD_suspend_connection(m_connection);
  m_is_suspended = true;
}

void HttpExchange::ResumeConnection() {
  if (m_connection == nullptr) {
    return;
  }
  if (m_is_suspended) {
    m_is_suspended = false;
    MHD_resume_connection(m_connection);
  }
  m_server.ScheduleRun();
}

void HttpExchange::Close(bool is_complete) {
  m_connection = nullptr;
  m_on_drained = nullptr;
  if (m_on_closed) {
    const auto callback = std::move(m_on_closed);
    m_on_closed = nullptr;
    callback(is_complete && !m_is_aborted);
  }
}

}  // namespace pistachiowalk
