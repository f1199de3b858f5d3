#include "soak/loopback_proxy.h"

#include <boost/leaf.hpp>
#include <cstdlib>

namespace pistachiowalk::testing {
namespace {

// Time to flush queued bytes to one side after the other side has closed.
constexpr Duration kLinger = std::chrono::milliseconds(500);

}  // namespace

LoopbackProxy::LoopbackProxy(EventLoop& loop,
                             SocketAddress listen,
                             SocketAddress target)
    : m_loop(loop), m_address(std::move(listen)), m_target(std::move(target)) {
  Listen();
}

void LoopbackProxy::StopListening() {
  m_listener.reset();
  Reset();
}

void LoopbackProxy::Listen() {
  if (m_listener) {
    return;
  }
  m_listener = boost::leaf::try_handle_all(
      [&] {
        return TcpListener::Create(
            m_loop, m_address,
            [this](TcpConnectionPtr client) { OnConnection(client); });
      },
      []() -> std::unique_ptr<TcpListener> { std::abort(); });
}

void LoopbackProxy::OnConnection(TcpConnectionPtr client) {
  std::erase_if(m_pairs, [](const ConnectionPairPtr& pair) {
    return !pair->client->is_open() && !pair->server->is_open();
  });
  auto pair = std::make_shared<ConnectionPair>();
  pair->client = std::move(client);
  pair->server = TcpConnection::Connect(m_loop, m_target);
  pair->is_blackholed = m_fault.blackholes_new;
  m_pairs.push_back(pair);
  // NOTE: The pair owns its connections, so the handlers must not own the pair.
  const auto handlers = [this,
                         weak = std::weak_ptr(pair)](ProxyDirection direction) {
    return TcpConnection::Handlers{
        .received =
            [this, weak, direction] {
              if (const ConnectionPairPtr held = weak.lock()) {
                Forward(held, direction);
              }
            },
        .ended =
            [this, weak, direction](ConnectionEnd) {
              if (const ConnectionPairPtr held = weak.lock()) {
                Enqueue(held, direction, DelayedChunk{.is_end = true});
              }
            }};
  };
  pair->client->SetHandlers(handlers(ProxyDirection::kForward));
  pair->server->SetHandlers(handlers(ProxyDirection::kBackward));
}

void LoopbackProxy::Forward(const ConnectionPairPtr& pair,
                            ProxyDirection direction) {
  const bool is_forward = direction == ProxyDirection::kForward;
  const TcpConnectionPtr from = is_forward ? pair->client : pair->server;
  std::string bytes = std::exchange(from->input(), {});
  if (is_forward ? m_fault.drops_forward : m_fault.drops_backward) {
    // TCP cannot deliver anything after a gap in the byte stream.
    pair->is_blackholed = true;
  }
  Enqueue(pair, direction, DelayedChunk{.bytes = std::move(bytes)});
}

void LoopbackProxy::Enqueue(const ConnectionPairPtr& pair,
                            ProxyDirection direction,
                            DelayedChunk delayed) {
  if (pair->is_blackholed) {
    return;
  }
  auto& queue =
      direction == ProxyDirection::kForward ? pair->forward : pair->backward;
  delayed.due = std::chrono::steady_clock::now() + m_fault.delay;
  queue.push_back(std::move(delayed));
  SendDue(pair, direction);
}

void LoopbackProxy::SendDue(const ConnectionPairPtr& pair,
                            ProxyDirection direction) {
  const bool is_forward = direction == ProxyDirection::kForward;
  const TcpConnectionPtr to = is_forward ? pair->server : pair->client;
  auto& queue = is_forward ? pair->forward : pair->backward;
  const TimePoint now = std::chrono::steady_clock::now();
  while (!queue.empty() && queue.front().due <= now) {
    const DelayedChunk first = std::move(queue.front());
    queue.pop_front();
    if (!to->is_open()) {
      continue;
    }
    if (first.is_end) {
      to->CloseWhenSent(kLinger);
    } else {
      to->Send(first.bytes);
    }
  }
  if (!queue.empty()) {
    m_loop.Schedule(queue.front().due - now,
                    [this, pair, direction] { SendDue(pair, direction); });
  }
}

void LoopbackProxy::Reset() {
  for (const ConnectionPairPtr& pair : m_pairs) {
    pair->client->Close();
    pair->server->Close();
  }
  m_pairs.clear();
}

void LoopbackProxy::BlackholeOpen() {
  for (const ConnectionPairPtr& pair : m_pairs) {
    pair->is_blackholed = true;
  }
}

}  // namespace pistachiowalk::testing
