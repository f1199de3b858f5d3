#include <fmt/format.h>

#include <chrono>
#include <iostream>

#include "load/call_client.h"
#include "load_command.h"
#include "net/event_loop.h"

namespace pistachiowalk {
namespace {

// Closed-loop load: each loop starts its next call when the last one ends.
class PlainLoad {
 public:
  explicit PlainLoad(const LoadArguments& arguments)
      : m_client(m_loop),
        m_arguments(arguments),
        m_urls(TargetUrls(arguments)),
        m_total(arguments["count"].as<uint64_t>()) {}

  int Run() {
    const uint64_t loops = m_arguments["loops"].as<uint64_t>();
    m_started_at = std::chrono::steady_clock::now();
    for (uint64_t i = 0; i < loops; ++i) {
      StartOne();
    }
    if (m_started > 0) {
      m_loop.Run();
    }
    Print();
    return 0;
  }

 private:
  void StartOne() {
    if (m_started == m_total) {
      return;
    }
    PlainRequest request;
    request.url = m_urls[m_started % m_urls.size()];
    request.customer_key = m_arguments["key"].as<std::string>();
    request.method = m_arguments["method"].as<std::string>();
    request.path = m_arguments["service"].as<std::string>() + "/" +
                   m_arguments["path"].as<std::string>();
    if (request.method != "GET") {
      request.idempotency_key = fmt::format(
          "load-{}-{}", m_arguments["seed"].as<uint64_t>(), m_started);
    }
    ++m_started;
    StartPlainCall(m_client, request,
                   [this](const PlainReport& report) { OnReport(report); });
  }

  void OnReport(const PlainReport& report) {
    constexpr int kFirstErrorStatus = 400;
    ++m_ended;
    m_latencies.Add(report.latency);
    if (report.status == 0 || report.status >= kFirstErrorStatus) {
      ++m_errors;
    }
    if (m_ended == m_total) {
      m_loop.Stop();
      return;
    }
    StartOne();
  }

  void Print() const {
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - m_started_at;
    std::cout << fmt::format(
        "load.calls: {} count\nload.errors: {} count\nload.elapsed: {:.3f} "
        "s\n",
        m_total, m_errors, elapsed.count());
    PrintQuantiles("load.latency", m_latencies);
  }

  EventLoop m_loop;
  HttpClient m_client;
  const LoadArguments& m_arguments;
  std::vector<std::string> m_urls;
  uint64_t m_total;
  TimePoint m_started_at;
  uint64_t m_started = 0;
  uint64_t m_ended = 0;
  uint64_t m_errors = 0;
  LatencySamples m_latencies;
};

}  // namespace

int RunPlainLoad(const LoadArguments& arguments) {
  PlainLoad load(arguments);
  return load.Run();
}

}  // namespace pistachiowalk
