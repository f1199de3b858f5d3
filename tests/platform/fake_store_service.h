#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/system_clock.h"
#include "http1/http_service.h"
#include "net/event_loop.h"

namespace pistachiowalk::testing {

enum class FakeStoreMode : uint8_t {
  kServing,
  // Answers all calls with 503.
  kDown,
  // Answers no call.
  kUnresponsive,
  kSlow,
  // Executes writes and aborts their responses.
  kResponsesLost,
};

// An in-memory version of the platform's store over HTTP. Implements items,
// pages, watches and conditional writes as far as the gateway uses them.
class FakeStoreService {
 public:
  FakeStoreService(EventLoop& loop, const SocketAddress& address);

  void SetMode(FakeStoreMode mode);
  // Drops the change history, so that clients must list again before they
  // watch.
  void Compact();
  // Writes of the operators and the endpoints.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  uint64_t calls() const { return m_calls; }

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
  };
  struct Change {
    uint64_t revision = 0;
    std::string key;
    bool is_removed = false;
    std::string value;
  };
  struct PendingWatch {
    ServerExchangePtr exchange;
    std::string prefix;
    uint64_t after = 0;
    TimerId timer = 0;
  };

  void Serve(const ServerExchangePtr& exchange);
  void Handle(const ServerExchangePtr& exchange);
  void HandleWatch(const ServerExchangePtr& exchange,
                   const std::map<std::string, std::string>& query);
  void HandleWrite(const ServerExchangePtr& exchange);
  std::string WriteEvents(const std::string& prefix, uint64_t after) const;
  bool HasEvents(const std::string& prefix, uint64_t after) const;
  void RecordChange(Change change);

  EventLoop& m_loop;
  SystemClock m_clock;
  FakeStoreMode m_mode = FakeStoreMode::kServing;
  std::map<std::string, Item> m_items;
  std::vector<Change> m_history;
  uint64_t m_revision = 1;
  uint64_t m_compacted_revision = 0;
  uint64_t m_calls = 0;
  std::list<PendingWatch> m_pending_watches;
  std::unique_ptr<HttpService> m_service;
};

}  // namespace pistachiowalk::testing
