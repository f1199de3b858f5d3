#include "http1/server_connection.h"

#include <fmt/format.h>

#include "http1/message_writer.h"

namespace pistachiowalk {
namespace {

// Time for the client to read the last response before the connection is
// closed.
constexpr Duration kLinger = std::chrono::milliseconds(1500);
// A client that reads the last response too slowly is cut off after this time.
constexpr Duration kMaximumClosingTime = std::chrono::seconds(30);
// Bytes of pipelined requests read while a request is being answered; reading
// stops beyond that.
constexpr size_t kMaximumPipelinedBytes = 256 * 1024;

}  // namespace

size_t ServerExchange::unsent_bytes() const {
  return m_connection == nullptr ? 0
                                 : m_connection->m_connection->unsent_bytes();
}

void ServerExchange::Respond(int status,
                             const HttpHeaders& headers,
                             std::string_view body) {
  if (m_connection == nullptr || m_is_finished) {
    return;
  }
  m_is_finished = true;
  m_connection->SendHead(status, ReasonPhrase(status), headers, body.size());
  if (m_head.method != "HEAD") {
    m_connection->m_connection->Send(body);
  }
  m_connection->FinishExchange();
}

void ServerExchange::RespondWithoutBody(int status,
                                        const HttpHeaders& headers,
                                        std::optional<size_t> body_size) {
  if (m_connection == nullptr || m_is_finished) {
    return;
  }
  m_is_finished = true;
  m_connection->SendHead(status, ReasonPhrase(status), headers, body_size,
                         m_head.accepts_chunks);
  m_connection->FinishExchange();
}

void ServerExchange::Begin(int status,
                           std::string_view reason,
                           const HttpHeaders& headers) {
  if (m_connection == nullptr || m_has_begun || m_is_finished) {
    return;
  }
  m_has_begun = true;
  // NOTE: Without chunks the end of the body is that of the connection.
  m_connection->m_closes_after_response |= !m_head.accepts_chunks;
  m_connection->SendHead(status, reason, headers, std::nullopt,
                         m_head.accepts_chunks);
}

void ServerExchange::SendChunk(std::string_view bytes) {
  if (m_connection == nullptr || !m_has_begun || m_is_finished) {
    return;
  }
  if (!m_head.accepts_chunks) {
    m_connection->m_connection->Send(bytes);
    return;
  }
  std::string chunk;
  AppendChunk(chunk, bytes);
  m_connection->m_connection->Send(chunk);
}

void ServerExchange::Finish() {
  if (m_connection == nullptr || !m_has_begun || m_is_finished) {
    return;
  }
  m_is_finished = true;
  if (m_head.accepts_chunks) {
    std::string end;
    AppendLastChunk(end);
    m_connection->m_connection->Send(end);
  }
  m_connection->FinishExchange();
}

void ServerExchange::Abort() {
  if (m_connection == nullptr || m_is_finished) {
    return;
  }
  m_is_finished = true;
  const ServerConnectionPtr connection(m_connection);
  if (m_has_begun && !m_head.accepts_chunks) {
    // NOTE: An orderly end of the connection would be the end of the body.
    connection->Reset();
    return;
  }
  connection->DropExchange();
  // NOTE: The bytes sent so far are still delivered. The missing last chunk
  // lets the client detect that the response is incomplete.
  connection->CloseWhenSent();
}

ServerConnection::ServerConnection(TcpConnectionPtr connection,
                                   ServerLimits limits,
                                   RequestHandler on_request,
                                   EndHandler on_end)
    : m_connection(std::move(connection)),
      m_limits(limits),
      m_on_request(std::move(on_request)),
      m_on_end(std::move(on_end)),
      m_parser(std::make_unique<RequestParser>(limits.parse)) {}

ServerConnection::~ServerConnection() {
  DropExchange();
  m_connection->Close();
}

void ServerConnection::Start(TimePoint now) {
  m_idle_since = now;
  m_now = now;
  m_connection->SetHandlers(
      TcpConnection::Handlers{.connected = nullptr,
                              .received = [this] { OnReceived(); },
                              .ended = [this](ConnectionEnd) { OnEnded(); }});
}

void ServerConnection::CheckTimeouts(TimePoint now) {
  const ServerConnectionPtr keep(this);
  m_now = now;
  if (m_closing_since && now - *m_closing_since > kMaximumClosingTime) {
    Close();
    return;
  }
  if (m_exchange || m_closing_since) {
    return;
  }
  if (!m_parser->has_started()) {
    if (now - m_idle_since > m_limits.idle_timeout) {
      CloseWhenSent();
    }
    return;
  }
  if (!m_request_since) {
    m_request_since = now;
  }
  if (now - *m_request_since > m_limits.header_timeout &&
      !m_parser->has_head()) {
    SendHead(408, ReasonPhrase(408), {{"Connection", "close"}}, 0);
    CloseWhenSent();
  }
}

void ServerConnection::CloseWhenIdle() {
  m_closes_after_response = true;
  if (!m_closing_since && is_idle() && m_connection->input().empty()) {
    const ServerConnectionPtr keep(this);
    CloseWhenSent();
  }
}

void ServerConnection::Close() {
  const ServerConnectionPtr keep(this);
  DropExchange();
  m_connection->Close();
  End();
}

void ServerConnection::Reset() {
  const ServerConnectionPtr keep(this);
  DropExchange();
  m_connection->Reset();
  End();
}

void ServerConnection::RefuseUnfinishedRequest(const HttpHeaders& headers) {
  if (m_exchange || m_closing_since || !m_parser->has_started()) {
    return;
  }
  const ServerConnectionPtr keep(this);
  HttpHeaders all = headers;
  all.push_back({"Connection", "close"});
  SendHead(503, ReasonPhrase(503), all, 0);
  m_has_refused_unfinished = true;
  CloseWhenSent();
}

void ServerConnection::OnReceived() {
  const ServerConnectionPtr keep(this);
  if (m_exchange) {
    if (m_connection->input().size() > kMaximumPipelinedBytes) {
      m_connection->SetReading(false);
    }
    return;
  }
  ParseNext();
}

void ServerConnection::OnEnded() {
  const ServerConnectionPtr keep(this);
  if (m_exchange) {
    const auto on_disconnect = std::move(m_exchange->m_on_disconnect);
    DropExchange();
    if (on_disconnect) {
      on_disconnect();
    }
  }
  End();
}

void ServerConnection::ParseNext() {
  if (m_is_parsing) {
    return;
  }
  m_is_parsing = true;
  const ServerConnectionPtr keep(this);
  while (!m_exchange && !m_closing_since && m_connection->is_open() &&
         !m_connection->input().empty()) {
    std::string& input = m_connection->input();
    const ParseProgress progress = m_parser->Feed(input);
    input.erase(0, progress.consumed);
    if (progress.status == ParseStatus::kNeedsMore) {
      break;
    }
    if (progress.status == ParseStatus::kFailed) {
      Refuse(m_parser->error());
      break;
    }
    m_closes_after_response |= !m_parser->head().keeps_connection;
    m_exchange = new ServerExchange(*this, std::move(m_parser->head()),
                                    std::move(m_parser->body));
    m_parser = std::make_unique<RequestParser>(m_limits.parse);
    m_request_since.reset();
    // NOTE: Copied because the handler may respond, which releases m_exchange.
    const ServerExchangePtr exchange = m_exchange;
    m_on_request(exchange);
  }
  m_is_parsing = false;
}

void ServerConnection::Refuse(ParseError error) {
  int status = 400;
  if (error == ParseError::kHeaderTooLarge) {
    status = 431;
  } else if (error == ParseError::kBodyTooLarge) {
    status = 413;
  }
  SendHead(status, ReasonPhrase(status), {{"Connection", "close"}}, 0);
  CloseWhenSent();
}

void ServerConnection::SendHead(int status,
                                std::string_view reason,
                                const HttpHeaders& headers,
                                std::optional<size_t> body_size,
                                bool accepts_chunks) {
  HttpHeaders all = headers;
  if (body_size) {
    all.push_back({"Content-Length", std::to_string(*body_size)});
  } else if (accepts_chunks) {
    all.push_back({"Transfer-Encoding", "chunked"});
  }
  if (m_closes_after_response && FindHeader(headers, "Connection") == nullptr) {
    all.push_back({"Connection", "close"});
  }
  std::string head;
  AppendResponseHead(head, status, reason, all);
  m_connection->Send(head);
}

void ServerConnection::FinishExchange() {
  const ServerConnectionPtr keep(this);
  DropExchange();
  m_idle_since = m_now;
  if (m_closes_after_response) {
    CloseWhenSent();
    return;
  }
  m_connection->SetReading(true);
  ParseNext();
}

void ServerConnection::DropExchange() {
  if (m_exchange) {
    m_exchange->m_connection = nullptr;
    m_exchange.reset();
  }
}

void ServerConnection::CloseWhenSent() {
  const ServerConnectionPtr keep(this);
  m_closing_since = m_now;
  if (!m_connection->is_open()) {
    End();
    return;
  }
  // NOTE: The owner keeps this connection until then, as its destruction would
  // discard what is not sent yet.
  m_connection->CloseWhenSent(kLinger, [this] {
    const ServerConnectionPtr closed(this);
    End();
  });
}

void ServerConnection::End() {
  const EndHandler on_end = std::exchange(m_on_end, nullptr);
  if (on_end) {
    on_end(*this);
  }
}

}  // namespace pistachiowalk
