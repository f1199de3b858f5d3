#include "key_value_stand_in.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>

#include "stand_in_program.h"

namespace pistachiowalk::stand_in {
namespace {

namespace json = boost::json;

constexpr std::string_view kPrefix = "/v1/kv/";
constexpr size_t kMaximumValueBytes = 1024 * 1024;

uint64_t NumberArgument(const HttpExchangePtr& exchange, const char* name) {
  return std::strtoull(exchange->QueryArgument(name).c_str(), nullptr, 10);
}

}  // namespace

bool KeyValueStandIn::ApplyFault(const HttpExchangePtr& exchange) {
  if (m_faults.calls_to_refuse > 0) {
    --m_faults.calls_to_refuse;
    RespondJson(exchange, 429, "{}");
    return true;
  }
  if (!m_faults.is_down && m_faults.calls_to_drop == 0) {
    return false;
  }
  if (m_faults.calls_to_drop > 0) {
    --m_faults.calls_to_drop;
  }
  exchange->StartStream(500, {});
  exchange->Abort();
  return true;
}

void KeyValueStandIn::Handle(const HttpExchangePtr& exchange) {
  if (ApplyFault(exchange)) {
    return;
  }
  const std::string key = exchange->path().substr(kPrefix.size());
  if (m_faults.delay.count() == 0) {
    Serve(exchange, key);
    return;
  }
  m_loop.Schedule(m_faults.delay,
                  [this, exchange, key] { Serve(exchange, key); });
}

void KeyValueStandIn::Serve(const HttpExchangePtr& exchange,
                            const std::string& key) {
  if (!exchange->IsOpen()) {
    return;
  }
  if (exchange->method() == "PUT") {
    Write(exchange, key);
  } else if (!exchange->QueryArgument("wait_ms").empty()) {
    Wait(exchange, key);
  } else {
    Read(exchange, key);
  }
}

void KeyValueStandIn::RespondItem(const HttpExchangePtr& exchange,
                                  int status,
                                  const std::string& key) {
  const Item& item = m_items[key];
  RespondJson(exchange, status,
              json::serialize(json::object{{"revision", item.revision},
                                           {"value", item.value}}));
}

void KeyValueStandIn::Read(const HttpExchangePtr& exchange,
                           const std::string& key) {
  ++m_reads;
  if (!m_items.contains(key)) {
    RespondJson(exchange, 404, "{}");
    return;
  }
  RespondItem(exchange, 200, key);
}

void KeyValueStandIn::Write(const HttpExchangePtr& exchange,
                            const std::string& key) {
  ++m_writes;
  const auto it = m_items.find(key);
  const uint64_t current = it == m_items.end() ? 0 : it->second.revision;
  if (exchange->body().size() > kMaximumValueBytes) {
    RespondJson(exchange, 413, "{}");
    return;
  }
  if (current != NumberArgument(exchange, "expected")) {
    RespondItem(exchange, 409, key);
    return;
  }
  m_items[key] = Item{exchange->body(), ++m_last_revision};
  NotifyWaiters(key);
  if (m_faults.answers_to_drop > 0) {
    --m_faults.answers_to_drop;
    exchange->StartStream(200, {});
    exchange->Abort();
    return;
  }
  RespondItem(exchange, 200, key);
}

void KeyValueStandIn::Wait(const HttpExchangePtr& exchange,
                           const std::string& key) {
  const uint64_t after = NumberArgument(exchange, "after");
  const auto it = m_items.find(key);
  if (it != m_items.end() && it->second.revision > after) {
    Read(exchange, key);
    return;
  }
  ++m_reads;
  m_waiters.push_back({exchange, key, after});
  const std::chrono::milliseconds wait(NumberArgument(exchange, "wait_ms"));
  m_loop.Schedule(wait, [this, exchange, key] {
    const auto is_this = [&exchange](const Waiter& waiter) {
      return waiter.exchange == exchange;
    };
    if (std::erase_if(m_waiters, is_this) > 0) {
      RespondItem(exchange, 200, key);
    }
  });
}

void KeyValueStandIn::NotifyWaiters(const std::string& key) {
  std::vector<Waiter> notified;
  std::erase_if(m_waiters, [&](const Waiter& waiter) {
    if (waiter.key != key) {
      return false;
    }
    notified.push_back(waiter);
    return true;
  });
  for (const Waiter& waiter : notified) {
    RespondItem(waiter.exchange, 200, key);
  }
}

void KeyValueStandIn::HandleControl(const HttpExchangePtr& exchange) {
  if (exchange->method() == "POST") {
    m_faults.is_down = exchange->QueryArgument("down") == "true";
    m_faults.calls_to_refuse = NumberArgument(exchange, "refuse_calls");
    m_faults.calls_to_drop = NumberArgument(exchange, "lose_calls");
    m_faults.answers_to_drop = NumberArgument(exchange, "lose_answers");
    m_faults.delay =
        std::chrono::milliseconds(NumberArgument(exchange, "delay_ms"));
  }
  RespondJson(
      exchange, 200,
      json::serialize(json::object{
          {"reads", m_reads}, {"writes", m_writes}, {"keys", m_items.size()}}));
}

}  // namespace pistachiowalk::stand_in
