#include <fmt/format.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <random>

#include "load/stream_client.h"
#include "load_command.h"
#include "net/event_loop.h"
#include "token_text.h"

namespace pistachiowalk {
namespace {

// The streams of one run and their outcomes.
class StreamLoad {
 public:
  explicit StreamLoad(const LoadArguments& arguments)
      : m_client(m_loop),
        m_arguments(arguments),
        m_urls(TargetUrls(arguments)),
        m_total(arguments["count"].as<uint64_t>()),
        m_rate(arguments["rate"].as<double>()),
        m_generator(arguments["seed"].as<uint64_t>()) {}

  int Run() {
    if (m_total == 0) {
      std::cerr << "pistachioload: --count must be 1 or more\n";
      return 2;
    }
    m_started_at = std::chrono::steady_clock::now();
    ScheduleNext();
    m_loop.Run();
    Print();
    return 0;
  }

 private:
  // Poisson arrivals with a mean of `rate` per second; a rate of 0 starts all
  // streams at once.
  void ScheduleNext() {
    if (m_started == m_total) {
      return;
    }
    Duration delay = Duration::zero();
    if (m_rate > 0) {
      std::exponential_distribution<double> gap(m_rate);
      delay = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap(m_generator)));
    }
    m_loop.Schedule(delay, [this] {
      StartOne();
      ScheduleNext();
    });
  }

  void StartOne() {
    StreamRequest request;
    request.url = m_urls[m_started % m_urls.size()];
    request.customer_key = m_arguments["key"].as<std::string>();
    request.service = m_arguments["service"].as<std::string>();
    request.prompt = fmt::format("question {} of run {}", m_started,
                                 m_arguments["seed"].as<uint64_t>());
    request.tokens = m_arguments["tokens"].as<uint64_t>();
    ++m_started;
    const auto client = std::make_shared<StreamClient>(
        std::move(request), stand_in::TokenText,
        [this](const StreamReport& report) { OnReport(report); });
    client->Start(m_loop, m_client);
  }

  void OnReport(const StreamReport& report) {
    ++m_ended;
    m_tokens += report.tokens;
    switch (report.outcome) {
      case StreamOutcome::kComplete:
        ++m_complete;
        m_first_tokens.Add(report.time_to_first_token);
        m_token_gaps.Merge(report.token_gaps);
        break;
      case StreamOutcome::kRefused:
        ++m_refused;
        break;
      case StreamOutcome::kReportedProblem:
      case StreamOutcome::kWrongTokens:
      case StreamOutcome::kBroken:
        ++m_errors;
        std::cerr << "stream error: " << report.detail << '\n';
        break;
    }
    if (m_ended == m_total) {
      m_loop.Stop();
    }
  }

  void Print() const {
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - m_started_at;
    std::cout << fmt::format(
        "load.streams: {} count\nload.complete: {} count\nload.refused: {} "
        "count\nload.errors: {} count\nload.tokens: {} count\nload.elapsed: "
        "{:.3f} s\n",
        m_total, m_complete, m_refused, m_errors, m_tokens, elapsed.count());
    PrintQuantiles("load.ttft", m_first_tokens);
    PrintQuantiles("load.itl", m_token_gaps);
  }

  EventLoop m_loop;
  HttpClient m_client;
  const LoadArguments& m_arguments;
  std::vector<std::string> m_urls;
  uint64_t m_total;
  double m_rate;
  std::mt19937_64 m_generator;
  TimePoint m_started_at;
  uint64_t m_started = 0;
  uint64_t m_ended = 0;
  uint64_t m_complete = 0;
  uint64_t m_refused = 0;
  uint64_t m_errors = 0;
  uint64_t m_tokens = 0;
  LatencySamples m_first_tokens;
  LatencySamples m_token_gaps;
};

}  // namespace

int RunStreamLoad(const LoadArguments& arguments) {
  StreamLoad load(arguments);
  return load.Run();
}

}  // namespace pistachiowalk
