#include "soak/loopback_proxy.h"

#include <boost/leaf.hpp>
#include <cstdlib>

namespace pistachiowalk::testing {
namespace {

// What is on its way may still leave after the other side has closed.
constexpr Duration kLinger = std::chrono::milliseconds(500);

}  // namespace

LoopbackProxy::LoopbackProxy(EventLoop& loop,
                             SocketAddress listen,
                             SocketAddress target)
    : m_loop(loop), m_target(std::move(target)) {
  m_listener = boost::leaf::try_handle_all(
      [&] {
        return TcpListener::Create(
            loop, listen,
            [this](TcpConnectionPtr client) { OnConnection(client); });
      },
      []() -> std::unique_ptr<TcpListener> { std::abort(); });
}

void LoopbackProxy::OnConnection(TcpConnectionPtr client) {
  std::erase_if(m_pairs, [](const PairPtr& pair) {
    return !pair->client->is_open() && !pair->server->is_open();
  });
  auto pair = std::make_shared<Pair>();
  pair->client = std::move(client);
  pair->server = TcpConnection::Connect(m_loop, m_target);
  pair->is_silent = m_fault.holds_new;
  m_pairs.push_back(pair);
  // NOTE: The pair holds its connections, so these must not hold the pair.
  const auto handlers = [this, weak = std::weak_ptr(pair)](ProxyWay way) {
    return TcpConnection::Handlers{.received =
                                       [this, weak, way] {
                                         if (const PairPtr held = weak.lock()) {
                                           Pass(held, way);
                                         }
                                       },
                                   .ended =
                                       [this, weak, way](ConnectionEnd) {
                                         if (const PairPtr held = weak.lock()) {
                                           Queue(held, way,
                                                 Delayed{.is_end = true});
                                         }
                                       }};
  };
  pair->client->SetHandlers(handlers(ProxyWay::kForward));
  pair->server->SetHandlers(handlers(ProxyWay::kBack));
}

void LoopbackProxy::Pass(const PairPtr& pair, ProxyWay way) {
  const bool is_forward = way == ProxyWay::kForward;
  const TcpConnectionPtr from = is_forward ? pair->client : pair->server;
  std::string bytes = std::exchange(from->input(), {});
  if (is_forward ? m_fault.drops_forward : m_fault.drops_back) {
    // A gap in a stream of bytes can only be followed by silence.
    pair->is_silent = true;
  }
  Queue(pair, way, Delayed{.bytes = std::move(bytes)});
}

void LoopbackProxy::Queue(const PairPtr& pair, ProxyWay way, Delayed delayed) {
  if (pair->is_silent) {
    return;
  }
  auto& queue = way == ProxyWay::kForward ? pair->forward : pair->back;
  delayed.due = std::chrono::steady_clock::now() + m_fault.delay;
  queue.push_back(std::move(delayed));
  Drain(pair, way);
}

void LoopbackProxy::Drain(const PairPtr& pair, ProxyWay way) {
  const bool is_forward = way == ProxyWay::kForward;
  const TcpConnectionPtr to = is_forward ? pair->server : pair->client;
  auto& queue = is_forward ? pair->forward : pair->back;
  const TimePoint now = std::chrono::steady_clock::now();
  while (!queue.empty() && queue.front().due <= now) {
    const Delayed first = std::move(queue.front());
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
                    [this, pair, way] { Drain(pair, way); });
  }
}

void LoopbackProxy::Reset() {
  for (const PairPtr& pair : m_pairs) {
    pair->client->Close();
    pair->server->Close();
  }
  m_pairs.clear();
}

void LoopbackProxy::SilenceOpen() {
  for (const PairPtr& pair : m_pairs) {
    pair->is_silent = true;
  }
}

}  // namespace pistachiowalk::testing
