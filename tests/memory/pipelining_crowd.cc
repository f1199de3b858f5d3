#include "memory/pipelining_crowd.h"

#include <algorithm>

namespace pistachiowalk::testing {
namespace {

constexpr size_t kPartBytes = 64 * 1024;
constexpr Duration kSendInterval = std::chrono::milliseconds(2);
// Shorter than the time after which the kernel gives a connection up.
constexpr Duration kReadInterval = std::chrono::seconds(2);

}  // namespace

PipeliningCrowd::PipeliningCrowd(EventLoop& loop,
                                 const SocketAddress& address,
                                 const Pipeline& pipeline,
                                 size_t clients)
    : m_loop(loop), m_pipeline(pipeline), m_clients(clients) {
  m_part_requests = std::clamp<size_t>(kPartBytes / pipeline.request.size(), 1,
                                       pipeline.requests);
  for (size_t i = 0; i < m_part_requests; ++i) {
    m_part += pipeline.request;
  }
  for (Client& client : m_clients) {
    client.connection = TcpConnection::Connect(loop, address);
    TcpConnection* connection = client.connection.get();
    connection->SetHandlers(
        TcpConnection::Handlers{.connected = nullptr,
                                .received =
                                    [connection] {
                                      connection->input().clear();
                                      connection->SetReading(false);
                                    },
                                .ended = nullptr});
    connection->SetReading(false);
  }
  SendMore();
  if (m_pipeline.reads_slowly) {
    ReadSome();
  }
}

PipeliningCrowd::~PipeliningCrowd() {
  m_loop.Cancel(m_send_timer);
  m_loop.Cancel(m_read_timer);
  for (const Client& client : m_clients) {
    client.connection->Close();
  }
}

void PipeliningCrowd::SendMore() {
  for (Client& client : m_clients) {
    TcpConnection& connection = *client.connection;
    const size_t left = m_pipeline.requests - client.sent_requests;
    if (left > 0 && connection.is_open() &&
        connection.unsent_bytes() < m_part.size()) {
      const size_t count = std::min(left, m_part_requests);
      connection.Send(std::string_view(m_part).substr(
          0, count * m_pipeline.request.size()));
      client.sent_requests += count;
    }
  }
  m_send_timer = m_loop.Schedule(kSendInterval, [this] { SendMore(); });
}

void PipeliningCrowd::ReadSome() {
  for (const Client& client : m_clients) {
    client.connection->SetReading(true);
  }
  m_read_timer = m_loop.Schedule(kReadInterval, [this] { ReadSome(); });
}

}  // namespace pistachiowalk::testing
