#pragma once

#include <functional>

#include "base/clock.h"
#include "http1/socket_address.h"
#include "net/event_loop.h"

namespace pistachiowalk {

// Opens a connection to `address` and closes it again. Calls `done` once, never
// from within this call: with true if something listens there, and with false
// if the connection is refused or not established within `timeout`.
void CheckIsListening(EventLoop& loop,
                      const SocketAddress& address,
                      Duration timeout,
                      std::function<void(bool is_listening)> done);

}  // namespace pistachiowalk
