#include "upstream/endpoint_check.h"

#include <memory>
#include <utility>

#include "http1/tcp_connection.h"

namespace pistachiowalk {
namespace {

struct Check {
  TcpConnectionPtr connection;
  TimerId timer = 0;
  std::function<void(bool is_listening)> done;
};

void Finish(EventLoop& loop, const std::shared_ptr<Check>& check, bool result) {
  const auto done = std::exchange(check->done, nullptr);
  if (!done) {
    return;
  }
  loop.Cancel(check->timer);
  check->connection->Close();
  done(result);
}

}  // namespace

void CheckIsListening(EventLoop& loop,
                      const SocketAddress& address,
                      Duration timeout,
                      std::function<void(bool is_listening)> done) {
  const auto check = std::make_shared<Check>();
  check->done = std::move(done);
  check->connection = TcpConnection::Connect(loop, address);
  // NOTE: The timer keeps the check alive; the connection does not, so that
  // nothing refers to itself.
  const std::weak_ptr<Check> weak = check;
  check->connection->SetHandlers(TcpConnection::Handlers{
      .connected =
          [&loop, weak] {
            if (const auto open = weak.lock()) {
              Finish(loop, open, true);
            }
          },
      .received = [] {},
      .ended =
          [&loop, weak](ConnectionEnd end) {
            if (const auto open = weak.lock()) {
              Finish(loop, open, end != ConnectionEnd::kNotConnected);
            }
          }});
  check->timer =
      loop.Schedule(timeout, [&loop, check] { Finish(loop, check, false); });
}

}  // namespace pistachiowalk
