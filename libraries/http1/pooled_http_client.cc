#include "http1/pooled_http_client.h"

#include "http1/message_writer.h"

namespace pistachiowalk {
namespace {

constexpr size_t kMaximumIdleConnections = 4;
// The store's largest page is about a megabyte, and base64 adds a third.
constexpr ParseLimits kResponseLimits{.header_bytes = 16 * 1024,
                                      .body_bytes = 16 * 1024 * 1024};

}  // namespace

struct PooledHttpClient::OpenCall {
  ClientConnectionPtr connection;
  TimerId timer = 0;
  std::optional<Duration> progress_timeout;
  HttpClientResponse response;
  Callback callback;
};

PooledHttpClient::PooledHttpClient(EventLoop& loop, SocketAddress peer)
    : m_loop(loop), m_peer(std::move(peer)) {}

PooledHttpClient::~PooledHttpClient() {
  for (const auto& call : m_open) {
    m_loop.Cancel(call->timer);
    call->connection->Close();
  }
  for (const ClientConnectionPtr& connection : m_idle) {
    connection->Close();
  }
}

ClientConnectionPtr PooledHttpClient::AcquireConnection() {
  while (!m_idle.empty()) {
    ClientConnectionPtr connection = m_idle.back();
    m_idle.pop_back();
    if (connection->CanReuse()) {
      return connection;
    }
    connection->Close();
  }
  return new ClientConnection(TcpConnection::Connect(m_loop, m_peer),
                              kResponseLimits);
}

void PooledHttpClient::Call(const HttpClientRequest& request,
                            Callback callback) {
  HttpHeaders headers = request.headers;
  headers.push_back({"Host", FormatSocketAddress(m_peer)});
  if (!request.body.empty()) {
    headers.push_back({"Content-Length", std::to_string(request.body.size())});
  }
  std::string bytes;
  AppendRequestHead(bytes, request.method, request.target, headers);
  bytes += request.body;

  m_open.push_back(std::make_unique<OpenCall>());
  const auto it = std::prev(m_open.end());
  OpenCall& call = **it;
  call.connection = AcquireConnection();
  call.callback = std::move(callback);
  call.progress_timeout = request.progress_timeout;
  RestartTimer(it, request.timeout);
  call.connection->Send(
      bytes, ClientConnection::ResponseHandlers{
                 .head =
                     [this, it](const ResponseHead& head) {
                       (*it)->response.status = head.status;
                       (*it)->response.headers = head.headers;
                       OnProgress(it);
                       return true;
                     },
                 .body =
                     [this, it](std::string_view part) {
                       (*it)->response.body += part;
                       (*it)->response.received_bytes += part.size();
                       OnProgress(it);
                     },
                 .end =
                     [this, it](ResponseEnd end) {
                       HttpClientResponse response = std::move((*it)->response);
                       response.end = end;
                       if (end != ResponseEnd::kComplete) {
                         response.status = 0;
                       }
                       Finish(it, std::move(response));
                     }});
}

void PooledHttpClient::RestartTimer(OpenCalls::iterator call,
                                    Duration timeout) {
  m_loop.Cancel((*call)->timer);
  (*call)->timer = m_loop.Schedule(timeout, [this, call] {
    (*call)->connection->Close();
    Finish(call, HttpClientResponse{
                     .end = ResponseEnd::kNoResponse,
                     .received_bytes = (*call)->response.received_bytes});
  });
}

void PooledHttpClient::OnProgress(OpenCalls::iterator call) {
  if ((*call)->progress_timeout) {
    RestartTimer(call, *(*call)->progress_timeout);
  }
}

void PooledHttpClient::Finish(OpenCalls::iterator call,
                              HttpClientResponse response) {
  const std::unique_ptr<OpenCall> ended = std::move(*call);
  m_open.erase(call);
  m_loop.Cancel(ended->timer);
  if (ended->connection->CanReuse() &&
      m_idle.size() < kMaximumIdleConnections) {
    m_idle.push_back(ended->connection);
  } else {
    ended->connection->Close();
  }
  ended->callback(response);
}

}  // namespace pistachiowalk
