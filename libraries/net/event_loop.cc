#include "net/event_loop.h"

#include <ace/Event_Handler.h>
#include <ace/Time_Value.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <map>
#include <unordered_map>

#include "net/net_log_events.h"

namespace pistachiowalk {
namespace {

constexpr Duration kMaximumWait = std::chrono::seconds(1);
constexpr int kMaximumDescriptors = 16384;

// NOTE: Opening the reactor fails if it is asked for more descriptors than the
// process limit allows.
int AvailableDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return kMaximumDescriptors;
  }
  return static_cast<int>(
      std::min<rlim_t>(limit.rlim_cur, kMaximumDescriptors));
}

ACE_Time_Value ToAceTime(Duration duration) {
  // NOTE: Rounded up; otherwise a timer due in less than a microsecond would
  // give a zero wait and make the loop spin.
  const auto micros =
      std::chrono::ceil<std::chrono::microseconds>(duration).count();
  constexpr int64_t kMicrosPerSecond = 1000000;
  return ACE_Time_Value(micros / kMicrosPerSecond, micros % kMicrosPerSecond);
}

ACE_Reactor_Mask ToMask(Readiness interest) {
  ACE_Reactor_Mask mask = 0;
  if (interest.readable) {
    mask |= ACE_Event_Handler::READ_MASK;
  }
  if (interest.writable) {
    mask |= ACE_Event_Handler::WRITE_MASK;
  }
  return mask;
}

}  // namespace

// Forwards readiness events of one descriptor to its callback.
class EventLoop::DescriptorHandler final : public ACE_Event_Handler {
 public:
  DescriptorHandler(EventLoop& loop,
                    int fd,
                    Readiness interest,
                    ReadinessCallback callback)
      : m_loop(loop),
        m_fd(fd),
        m_interest(interest),
        m_callback(std::move(callback)) {}

  ACE_HANDLE get_handle() const override { return m_fd; }
  int handle_input(ACE_HANDLE) override {
    return Deliver(Readiness{.readable = true, .writable = false});
  }
  int handle_output(ACE_HANDLE) override {
    return Deliver(Readiness{.readable = false, .writable = true});
  }
  // Nothing to do: the loop removes watches itself.
  int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override { return 0; }

  void Retire() { m_is_retired = true; }
  Readiness interest() const { return m_interest; }

 private:
  int Deliver(Readiness readiness) {
    if (!m_is_retired) {
      // NOTE: Copied because the callback may replace this watch.
      const ReadinessCallback callback = m_callback;
      m_loop.RunGuarded([&] { callback(m_fd, readiness); });
    }
    return 0;
  }

  EventLoop& m_loop;
  int m_fd;
  Readiness m_interest;
  ReadinessCallback m_callback;
  bool m_is_retired = false;
};

class EventLoop::SignalHandler final : public ACE_Event_Handler {
 public:
  SignalHandler(EventLoop& loop, int signal_number, Task task)
      : m_loop(loop), m_signal_number(signal_number), m_task(std::move(task)) {}
  int signal_number() const { return m_signal_number; }
  // NOTE: Runs in a signal handler, so it may only set a flag.
  int handle_signal(int, siginfo_t*, ucontext_t*) override {
    m_is_raised = 1;
    return 0;
  }
  void DeliverIfRaised() {
    if (m_is_raised == 0) {
      return;
    }
    m_is_raised = 0;
    m_loop.Post(m_task);
  }

 private:
  EventLoop& m_loop;
  int m_signal_number;
  Task m_task;
  volatile sig_atomic_t m_is_raised = 0;
};

// Timers on the monotonic clock. ACE's own timer queue uses the wall clock.
struct EventLoop::Timers {
  std::multimap<TimePoint, std::pair<TimerId, Task>> queue;
  std::unordered_map<TimerId, decltype(queue)::iterator> by_id;
  TimerId last_id = 0;
};

EventLoop::EventLoop()
    : m_reactor(std::make_unique<ACE_Reactor>(
          new ACE_Dev_Poll_Reactor(AvailableDescriptors(), true),
          true)),
      m_timers(std::make_unique<Timers>()) {}

EventLoop::~EventLoop() {
  for (const auto& handler : m_signals) {
    m_reactor->remove_handler(handler->signal_number(),
                              static_cast<ACE_Sig_Action*>(nullptr));
  }
  for (auto& [fd, handler] : m_descriptors) {
    m_reactor->remove_handler(
        fd, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
  }
}

TimerId EventLoop::Schedule(Duration delay, Task task) {
  const TimerId id = ++m_timers->last_id;
  const TimePoint due = std::chrono::steady_clock::now() + delay;
  const auto it = m_timers->queue.emplace(due, std::pair(id, std::move(task)));
  m_timers->by_id.emplace(id, it);
  return id;
}

void EventLoop::Cancel(TimerId timer) {
  const auto it = m_timers->by_id.find(timer);
  if (it == m_timers->by_id.end()) {
    return;
  }
  m_timers->queue.erase(it->second);
  m_timers->by_id.erase(it);
}

void EventLoop::Post(Task task) {
  m_posted.push_back(std::move(task));
}

void EventLoop::Watch(int fd, Readiness interest, ReadinessCallback callback) {
  const auto it = m_descriptors.find(fd);
  if (it != m_descriptors.end() && it->second->interest() == interest) {
    return;
  }
  Unwatch(fd);
  auto handler = std::make_unique<DescriptorHandler>(*this, fd, interest,
                                                     std::move(callback));
  m_reactor->register_handler(fd, handler.get(), ToMask(interest));
  m_descriptors[fd] = std::move(handler);
}

void EventLoop::Unwatch(int fd) {
  const auto it = m_descriptors.find(fd);
  if (it == m_descriptors.end()) {
    return;
  }
  m_reactor->remove_handler(
      fd, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
  it->second->Retire();
  m_retired.push_back(std::move(it->second));
  m_descriptors.erase(it);
}

void EventLoop::OnSignal(int signal_number, Task task) {
  m_signals.push_back(
      std::make_unique<SignalHandler>(*this, signal_number, std::move(task)));
  m_reactor->register_handler(signal_number, m_signals.back().get());
}

void EventLoop::RunPosted() {
  // NOTE: Tasks posted by these tasks run in the next iteration, so that they
  // cannot starve the descriptors.
  std::deque<Task> tasks;
  tasks.swap(m_posted);
  for (const Task& task : tasks) {
    RunGuarded(task);
  }
}

template <class Callable>
void EventLoop::RunGuarded(const Callable& task) {
  std::string reason;
  try {
    task();
    return;
  } catch (const std::exception& error) {
    reason = error.what();
  } catch (...) {
    reason = "unknown";
  }
  ++m_failed_tasks;
  LogEvent(net_log::kTaskFailed, {{"reason", reason}});
}

void EventLoop::RunDueTimers() {
  const TimePoint now = std::chrono::steady_clock::now();
  while (!m_timers->queue.empty() && m_timers->queue.begin()->first <= now) {
    const auto it = m_timers->queue.begin();
    const Task task = std::move(it->second.second);
    m_timers->by_id.erase(it->second.first);
    m_timers->queue.erase(it);
    RunGuarded(task);
  }
}

Duration EventLoop::TimeToNextEvent() const {
  if (!m_posted.empty()) {
    return Duration::zero();
  }
  if (m_timers->queue.empty()) {
    return kMaximumWait;
  }
  const Duration wait =
      m_timers->queue.begin()->first - std::chrono::steady_clock::now();
  return std::clamp(wait, Duration::zero(), kMaximumWait);
}

void EventLoop::Run() {
  m_is_stopping = false;
  while (!m_is_stopping) {
    ACE_Time_Value wait = ToAceTime(TimeToNextEvent());
    m_reactor->handle_events(&wait);
    for (const auto& signal : m_signals) {
      signal->DeliverIfRaised();
    }
    RunDueTimers();
    RunPosted();
    m_retired.clear();
  }
}

}  // namespace pistachiowalk
