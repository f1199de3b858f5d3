#include "http1/client_connection.h"

#include <utility>

namespace pistachiowalk {
namespace {

// Interim responses and responses to other requests that may precede the one
// that is awaited.
constexpr uint32_t kMaximumDiscardedResponses = 16;

}  // namespace

ClientConnection::ClientConnection(TcpConnectionPtr connection,
                                   const ParseLimits& limits)
    : m_connection(std::move(connection)), m_limits(limits) {
  m_connection->SetHandlers(TcpConnection::Handlers{
      .connected = nullptr,
      .received = [this] { OnReceived(); },
      .ended = [this](ConnectionEnd end) { OnEnded(end); }});
}

ClientConnection::~ClientConnection() {
  m_connection->Close();
}

void ClientConnection::Send(std::string_view request,
                            ResponseHandlers handlers,
                            bool expects_body,
                            SharedBytes body) {
  m_handlers = std::move(handlers);
  m_expects_body = expects_body;
  StartParser();
  m_is_busy = true;
  m_has_response = false;
  m_head_delivered = false;
  m_discards_response = false;
  m_discarded_responses = 0;
  if (body) {
    m_connection->Send(request, std::move(body));
  } else {
    m_connection->Send(request);
  }
}

void ClientConnection::Close() {
  m_handlers = {};
  m_idle_end = nullptr;
  m_is_busy = false;
  m_connection->Close();
}

bool ClientConnection::CanReuse() const {
  return !m_is_busy && m_keeps_connection && m_connection->is_open() &&
         m_connection->input().empty() && m_connection->unsent_bytes() == 0;
}

void ClientConnection::OnReceived() {
  const ClientConnectionPtr keep(this);
  if (!m_is_busy) {
    // NOTE: Bytes after a complete response belong to no request.
    m_connection->Close();
    if (const auto idle_end = std::exchange(m_idle_end, nullptr)) {
      idle_end();
    }
    return;
  }
  Parse();
}

void ClientConnection::OnEnded(ConnectionEnd end) {
  const ClientConnectionPtr keep(this);
  if (!m_is_busy) {
    if (const auto idle_end = std::exchange(m_idle_end, nullptr)) {
      idle_end();
    }
    return;
  }
  if (end == ConnectionEnd::kNotConnected) {
    Finish(ResponseEnd::kNotConnected);
    return;
  }
  m_keeps_connection = false;
  // NOTE: A peer that closes with the request unread resets the connection
  // after its end, so the end of a response without a length is not known to be
  // the end of its body. Callers need errors that end like this, which mostly
  // refuse the request as too large.
  const bool may_be_cut = m_head_delivered &&
                          m_parser->head().status / 100 == 2 &&
                          m_connection->unsent_bytes() > 0;
  if (end == ConnectionEnd::kClosed && m_head_delivered && !may_be_cut &&
      !m_discards_response && m_parser->FeedEnd() == ParseStatus::kDone) {
    Deliver();
    Finish(ResponseEnd::kComplete);
    return;
  }
  Finish(m_has_response ? ResponseEnd::kBrokenResponse
                        : ResponseEnd::kNoResponse);
}

void ClientConnection::StartParser() {
  m_parser = std::make_unique<ResponseParser>(m_limits);
  if (!m_expects_body) {
    m_parser->ExpectNoBody();
  }
}

void ClientConnection::Parse() {
  const ClientConnectionPtr keep(this);
  while (m_is_busy && m_connection->is_open() &&
         !m_connection->input().empty()) {
    std::string& input = m_connection->input();
    const ParseProgress progress = m_parser->Feed(input);
    input.erase(0, progress.consumed);
    if (progress.status == ParseStatus::kFailed) {
      Reject();
      return;
    }
    if (m_parser->has_head() && !m_head_delivered) {
      m_head_delivered = true;
      m_keeps_connection = m_parser->head().keeps_connection;
      m_discards_response = !m_handlers.head(m_parser->head());
      m_has_response |= !m_discards_response;
    }
    if (!m_is_busy) {
      return;
    }
    Deliver();
    if (progress.status == ParseStatus::kNeedsMore || !m_is_busy) {
      return;
    }
    if (m_discards_response) {
      if (++m_discarded_responses > kMaximumDiscardedResponses) {
        Reject();
        return;
      }
      StartParser();
      m_head_delivered = false;
      continue;
    }
    Finish(ResponseEnd::kComplete);
  }
}

void ClientConnection::Deliver() {
  if (m_parser->body.empty()) {
    return;
  }
  const std::string bytes = std::exchange(m_parser->body, {});
  if (!m_discards_response) {
    // NOTE: The handler may close this connection, which drops the handlers.
    const auto body = m_handlers.body;
    body(bytes);
  }
}

void ClientConnection::Reject() {
  m_connection->Close();
  Finish(ResponseEnd::kInvalidResponse);
}

void ClientConnection::Finish(ResponseEnd end) {
  m_is_busy = false;
  const ResponseHandlers handlers = std::exchange(m_handlers, {});
  if (end != ResponseEnd::kComplete) {
    m_keeps_connection = false;
  }
  handlers.end(end);
}

}  // namespace pistachiowalk
