#pragma once

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

class ACE_Event_Handler;

namespace pistachiowalk {

// Identifies a scheduled timer; 0 means no timer.
using TimerId = uint64_t;

// The I/O operations a descriptor is watched for or ready for.
struct Readiness {
  bool readable = false;
  bool writable = false;

  friend bool operator==(const Readiness&, const Readiness&) = default;
};

// A single-threaded event loop on an ACE epoll reactor. All work of a process
// runs in callbacks of its loop. A callback that throws is logged and counted;
// the loop goes on with the others.
class EventLoop {
 public:
  using Task = std::function<void()>;
  using ReadinessCallback = std::function<void(int fd, Readiness readiness)>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs `task` once after `delay`.
  TimerId Schedule(Duration delay, Task task);
  // Cancels a timer; unknown ids and 0 are ignored.
  void Cancel(TimerId timer);
  // Runs `task` after the callbacks of this iteration, before the next wait.
  void Post(Task task);

  // Watches `fd` for the operations in `interest`. Replaces an earlier watch,
  // unless its interest is the same.
  void Watch(int fd, Readiness interest, ReadinessCallback callback);
  void Unwatch(int fd);

  // Posts `task` each time the signal is received.
  void OnSignal(int signal_number, Task task);

  // Runs the tasks posted so far. Owners call it when they shut the loop down.
  void RunPosted();
  // Runs until Stop() is called from a callback.
  void Run();
  void Stop() { m_is_stopping = true; }
  // Number of callbacks that ended with an exception.
  uint64_t failed_tasks() const { return m_failed_tasks; }

 private:
  class DescriptorHandler;
  class SignalHandler;
  struct Timers;

  template <class Callable>
  void RunGuarded(const Callable& task);
  void RunDueTimers();
  Duration TimeToNextEvent() const;

  std::unique_ptr<ACE_Reactor> m_reactor;
  std::unique_ptr<Timers> m_timers;
  std::deque<Task> m_posted;
  std::unordered_map<int, std::unique_ptr<DescriptorHandler>> m_descriptors;
  std::vector<std::unique_ptr<DescriptorHandler>> m_retired;
  std::vector<std::unique_ptr<SignalHandler>> m_signals;
  bool m_is_stopping = false;
  uint64_t m_failed_tasks = 0;
};

}  // namespace pistachiowalk
