#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "base/clock.h"
#include "net/event_loop.h"

namespace pistachiowalk {

// Makes a node's list of endpoints complete up to a moment of this node, by a
// question to the store that is sent after it.
//
// The age of a list cannot tell that: the clock of a node that stands still
// does not count that time, and an answer may wait unread meanwhile. Calls that
// come while a question is open are answered by the next one.
class ListRefresher {
 public:
  using Callback = std::function<void(bool is_complete)>;
  // Sends a question unless one is open, and returns whether it was sent. Its
  // callback tells whether the list has all changes up to when it was sent.
  using Ask = std::function<bool(Callback ended)>;

  ListRefresher(EventLoop& loop, const Clock& clock, Ask ask);
  ~ListRefresher();
  ListRefresher(const ListRefresher&) = delete;
  ListRefresher& operator=(const ListRefresher&) = delete;

  // Calls `callback` once, later, with whether the list has all changes up to
  // this call; false if the store has not answered in time.
  void Refresh(Callback callback);

 private:
  struct Waiter {
    Callback callback;
    TimerId timeout = 0;
  };

  // Asks as soon as the interval between questions allows, if anyone waits.
  void AskWhenDue();
  void SendQuestion();
  // Ends the waiters before number `end`.
  void EndBefore(uint64_t end);
  void EndWaiter(uint64_t number, bool is_complete);

  EventLoop& m_loop;
  const Clock& m_clock;
  Ask m_ask;
  // By number, in the order of their calls.
  std::map<uint64_t, Waiter> m_waiters;
  uint64_t m_next_waiter = 0;
  bool m_is_asking = false;
  TimePoint m_asked_at{};
  TimerId m_ask_timer = 0;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
