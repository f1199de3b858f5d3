#include "upstream/crash_checks.h"

#include <utility>

#include "upstream/endpoint_check.h"

namespace pistachiowalk {
namespace {

constexpr size_t kMaximumCallbacks = 8;

}  // namespace

void CrashChecks::Check(EventLoop& loop,
                        const SocketAddress& address,
                        Duration timeout,
                        Callback ended) {
  std::vector<Callback>& callbacks = m_pending[address];
  if (callbacks.size() >= kMaximumCallbacks) {
    return;
  }
  callbacks.push_back(std::move(ended));
  if (callbacks.size() > 1) {
    return;
  }
  CheckIsListening(
      loop, address, timeout,
      [this, address, alive = std::weak_ptr(m_alive)](bool is_listening) {
        if (alive.expired()) {
          return;
        }
        const std::vector<Callback> waiting =
            std::move(m_pending.extract(address).mapped());
        if (!is_listening) {
          for (const Callback& callback : waiting) {
            callback();
          }
        }
      });
}

}  // namespace pistachiowalk
