#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/system_clock.h"
#include "http1/http_service.h"
#include "net/event_loop.h"

namespace pistachiowalk::testing {

// The platform's cloud API. Rejects calls whose fencing number is lower than
// one seen before for the same subject.
class FakeCloudService {
 public:
  struct Handlers {
    std::function<void(const std::string& holder,
                       uint64_t fence,
                       uint64_t window,
                       const std::string& counts)>
        usage;
    std::function<void(const std::string& holder, uint64_t fence)> order;
  };

  FakeCloudService(EventLoop& loop,
                   const SocketAddress& address,
                   Handlers handlers);

  // While the service is down, all calls are answered with 503.
  void SetDown(bool is_down) { m_is_down = is_down; }

 private:
  void Serve(const ServerExchangePtr& exchange);

  SystemClock m_clock;
  Handlers m_handlers;
  bool m_is_down = false;
  // The highest fencing number seen, by subject.
  std::map<std::string, uint64_t> m_fences;
  std::unique_ptr<HttpService> m_service;
};

}  // namespace pistachiowalk::testing
