#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "load/call_client.h"
#include "load/latency_samples.h"
#include "load/stream_client.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "together/deployment_monitor.h"

namespace pistachiowalk::testing {

// Results of all streams as seen by their callers.
struct StreamTotals {
  uint64_t started = 0;
  uint64_t ended = 0;
  uint64_t complete = 0;
  uint64_t refused = 0;
  uint64_t ended_with_problem = 0;
  // Accepted, then broken off without an error message.
  uint64_t lost = 0;
  uint64_t wrong_tokens = 0;
  uint64_t resumed = 0;
  uint64_t on_time = 0;
  LatencySamples first_tokens;
  LatencySamples token_gaps;
  LatencySamples resume_gaps;
};

// Outcome of an action as seen by its caller.
enum class ActionEnd { kRan, kNotRun, kUnknown, kNoAnswer };

// Mean request rates and the length of a stream.
struct LoadRates {
  double streams_per_second = 0;
  double actions_per_second = 0;
  uint64_t tokens = 0;
};

// Generates streams and actions for a fixed time.
class DeploymentLoad {
 public:
  DeploymentLoad(EventLoop& loop,
                 HttpClient& client,
                 DeploymentMonitor& monitor,
                 LoadRates rates,
                 uint64_t seed);

  // Starts streams and actions as Poisson arrivals at the mean rates for
  // `duration`.
  void Start(Duration duration);
  bool IsOver() const;
  const StreamTotals& streams() const { return m_streams; }
  // By idempotency key.
  const std::map<std::string, ActionEnd>& actions() const { return m_actions; }
  uint64_t ActionsStarted() const { return m_actions_started; }

 private:
  void ScheduleStream();
  void ScheduleAction();
  void StartStream();
  void OnStream(const StreamReport& report);
  void StartAction();
  void SendAction(const std::string& key, uint32_t attempt);
  void OnAction(const std::string& key,
                uint32_t attempt,
                const PlainReport& report);
  Duration NextArrivalDelay(double rate);

  EventLoop& m_loop;
  HttpClient& m_client;
  DeploymentMonitor& m_monitor;
  LoadRates m_rates;
  uint64_t m_seed;
  std::mt19937_64 m_random;
  TimePoint m_ends_at;
  StreamTotals m_streams;
  std::map<std::string, ActionEnd> m_actions;
  uint64_t m_actions_started = 0;
};

}  // namespace pistachiowalk::testing
