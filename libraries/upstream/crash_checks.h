#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "http1/socket_address.h"
#include "net/event_loop.h"

namespace pistachiowalk {

// Finds out whether workers have ended whose connections broke. All attempts
// that were open at a worker share one check.
class CrashChecks {
 public:
  using Callback = std::function<void()>;

  // Calls `ended`, never from within this call, if nothing listens on `address`
  // any more. Of the attempts that share a check, only the first few are told,
  // since each of many is a weak suspect.
  void Check(EventLoop& loop,
             const SocketAddress& address,
             Duration timeout,
             Callback ended);

 private:
  std::map<SocketAddress, std::vector<Callback>> m_pending;
  // Lets pending checks detect that this object was destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
