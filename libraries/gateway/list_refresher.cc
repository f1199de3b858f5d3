#include "gateway/list_refresher.h"

#include <utility>

namespace pistachiowalk {
namespace {

// Bounds the reads of a node whose callers all come back at once.
constexpr Duration kAskInterval = std::chrono::milliseconds(100);
// A slow answer, or a failed one and another.
constexpr Duration kRefreshTimeout = std::chrono::milliseconds(800);

}  // namespace

ListRefresher::ListRefresher(EventLoop& loop, const Clock& clock, Ask ask)
    : m_loop(loop), m_clock(clock), m_ask(std::move(ask)) {}

ListRefresher::~ListRefresher() {
  m_loop.Cancel(m_ask_timer);
  for (const auto& [number, waiter] : m_waiters) {
    m_loop.Cancel(waiter.timeout);
  }
}

void ListRefresher::Refresh(Callback callback) {
  const uint64_t number = m_next_waiter++;
  m_waiters[number] = Waiter{
      .callback = std::move(callback),
      .timeout = m_loop.Schedule(kRefreshTimeout,
                                 [this, number] { EndWaiter(number, false); })};
  AskWhenDue();
}

void ListRefresher::AskWhenDue() {
  if (m_is_asking || m_ask_timer != 0 || m_waiters.empty()) {
    return;
  }
  const Duration since = m_clock.Now() - m_asked_at;
  if (since >= kAskInterval) {
    SendQuestion();
    return;
  }
  m_ask_timer = m_loop.Schedule(kAskInterval - since, [this] {
    m_ask_timer = 0;
    SendQuestion();
  });
}

void ListRefresher::SendQuestion() {
  m_asked_at = m_clock.Now();
  m_is_asking = true;
  const bool is_sent =
      m_ask([this, end = m_next_waiter,
             alive = std::weak_ptr(m_alive)](bool is_complete) {
        if (alive.expired()) {
          return;
        }
        m_is_asking = false;
        if (is_complete) {
          EndBefore(end);
        }
        AskWhenDue();
      });
  if (!is_sent) {
    m_is_asking = false;
    AskWhenDue();
  }
}

void ListRefresher::EndBefore(uint64_t end) {
  while (!m_waiters.empty() && m_waiters.begin()->first < end) {
    EndWaiter(m_waiters.begin()->first, true);
  }
}

void ListRefresher::EndWaiter(uint64_t number, bool is_complete) {
  const auto waiter = m_waiters.extract(number);
  if (waiter.empty()) {
    return;
  }
  m_loop.Cancel(waiter.mapped().timeout);
  waiter.mapped().callback(is_complete);
}

}  // namespace pistachiowalk
