#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_exchange.h"

namespace pistachiowalk::stand_in {

// Faults of the platform's store, set over HTTP by tests.
struct StoreFaults {
  bool is_down = false;
  // Number of calls to be refused by the rate limit (429).
  uint64_t calls_to_refuse = 0;
  // Number of calls to be dropped without effect or answer.
  uint64_t calls_to_drop = 0;
  // Number of writes that take effect without their answer being sent.
  uint64_t answers_to_drop = 0;
  std::chrono::milliseconds delay{0};
};

// Stand-in of the platform's key-value service (docs/interfaces/store.md).
class KeyValueStandIn {
 public:
  explicit KeyValueStandIn(EventLoop& loop) : m_loop(loop) {}

  // Serves /v1/kv/<key>.
  void Handle(const HttpExchangePtr& exchange);
  // Serves /stand-in/store: sets faults from query arguments, shows counters.
  void HandleControl(const HttpExchangePtr& exchange);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
  };
  struct Waiter {
    HttpExchangePtr exchange;
    std::string key;
    uint64_t after = 0;
  };

  // Applies the configured faults; true when the call is finished.
  bool ApplyFault(const HttpExchangePtr& exchange);
  void Serve(const HttpExchangePtr& exchange, const std::string& key);
  void Read(const HttpExchangePtr& exchange, const std::string& key);
  void Write(const HttpExchangePtr& exchange, const std::string& key);
  void Wait(const HttpExchangePtr& exchange, const std::string& key);
  void NotifyWaiters(const std::string& key);
  void RespondItem(const HttpExchangePtr& exchange,
                   int status,
                   const std::string& key);

  EventLoop& m_loop;
  StoreFaults m_faults;
  std::map<std::string, Item> m_items;
  std::vector<Waiter> m_waiters;
  uint64_t m_last_revision = 0;
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
};

}  // namespace pistachiowalk::stand_in
