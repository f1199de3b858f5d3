#include "http1/narrow_link.h"

#include <algorithm>
#include <boost/leaf.hpp>
#include <cstdlib>

namespace pistachiowalk::testing {
namespace {

constexpr Duration kInterval = std::chrono::milliseconds(5);
constexpr size_t kIntervalsPerSecond = std::chrono::seconds(1) / kInterval;
constexpr Duration kLinger = std::chrono::milliseconds(500);

}  // namespace

NarrowLink::NarrowLink(EventLoop& loop,
                       const SocketAddress& listen,
                       SocketAddress server,
                       size_t bytes_per_second)
    : m_loop(loop),
      m_server(std::move(server)),
      m_bytes_per_second(bytes_per_second),
      m_listener(boost::leaf::try_handle_all(
          [&] {
            return TcpListener::Create(
                loop, listen,
                [this](TcpConnectionPtr client) { OnConnection(client); });
          },
          []() -> std::unique_ptr<TcpListener> { std::abort(); })) {
  SendSlices();
}

NarrowLink::~NarrowLink() {
  m_loop.Cancel(m_timer);
  for (const auto& connection : m_connections) {
    connection->client->Close();
    connection->server->Close();
  }
}

void NarrowLink::OnConnection(TcpConnectionPtr client) {
  auto connection = std::make_shared<Connection>();
  connection->client = std::move(client);
  connection->server = TcpConnection::Connect(m_loop, m_server);
  m_connections.push_back(connection);
  // NOTE: The connection owns its sockets, so their handlers must not own it.
  const std::weak_ptr weak(connection);
  connection->client->SetHandlers(TcpConnection::Handlers{
      .received =
          [weak] {
            if (const auto held = weak.lock()) {
              held->server->Send(std::exchange(held->client->input(), {}));
            }
          },
      .ended =
          [weak](ConnectionEnd) {
            if (const auto held = weak.lock()) {
              held->server->Close();
            }
          }});
  connection->server->SetHandlers(TcpConnection::Handlers{
      .received =
          [weak] {
            if (const auto held = weak.lock()) {
              held->queued += std::exchange(held->server->input(), {});
            }
          },
      .ended =
          [weak](ConnectionEnd) {
            if (const auto held = weak.lock()) {
              held->has_server_ended = true;
            }
          }});
}

void NarrowLink::SendSlices() {
  m_timer = m_loop.Schedule(kInterval, [this] { SendSlices(); });
  std::erase_if(m_connections, [](const auto& connection) {
    return !connection->client->is_open();
  });
  const auto sending = static_cast<size_t>(std::count_if(
      m_connections.begin(), m_connections.end(),
      [](const auto& connection) { return !connection->queued.empty(); }));
  const size_t share =
      m_bytes_per_second / kIntervalsPerSecond / std::max<size_t>(sending, 1);
  for (const auto& connection : m_connections) {
    const size_t bytes = std::min(share, connection->queued.size());
    connection->client->Send(connection->queued.substr(0, bytes));
    connection->queued.erase(0, bytes);
    m_sent_bytes += bytes;
    if (connection->queued.empty() && connection->has_server_ended) {
      connection->client->CloseWhenSent(kLinger);
    }
  }
}

}  // namespace pistachiowalk::testing
