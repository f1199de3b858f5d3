#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "together/deployment_load.h"
#include "together/deployment_monitor.h"
#include "together/deployment_report.h"
#include "together/loopback_deployment.h"

// measure_takeover SEED: runs three entry processes of one data centre, stops
// one and kills another during about 200 streams and 200 checkouts.
namespace pistachiowalk::testing {
namespace {

constexpr EntriesByPlace kEntriesByPlace = {3, 0, 0};
constexpr LoadRates kRates{.streams_per_second = 200,
                           .actions_per_second = 200,
                           .tokens = 200};
constexpr Duration kLoadTime = std::chrono::seconds(1);
constexpr Duration kSettleTime = std::chrono::seconds(2);
constexpr Duration kStopAfter = std::chrono::milliseconds(700);
constexpr Duration kKillAfter = std::chrono::milliseconds(900);
constexpr Duration kTimeout = std::chrono::seconds(40);

void Print(const DeploymentLoad& load,
           const EndpointTotals& totals,
           int exit_code) {
  const StreamTotals& streams = load.streams();
  const ActionTotals actions = CountActions(load.actions(), totals);
  const auto count = [](const char* name, uint64_t value) {
    std::cout << fmt::format("takeover.{}: {} count\n", name, value);
  };
  count("streams", streams.started);
  count("checkouts", load.ActionsStarted());
  count("accepted_lost",
        streams.lost + actions.lost + UnfinishedRequests(load));
  count("stream_errors", streams.wrong_tokens);
  const std::chrono::duration<double, std::milli> gap =
      streams.resume_gaps.Quantile(0.99);
  std::cout << fmt::format("takeover.resume_gap_p99_ms: {:.1f} ms\n",
                           gap.count());
  count("recomputed_tokens", totals.recomputed_tokens);
  count("double_runs", actions.double_runs);
  count("false_not_run", actions.false_not_run);
  count("streams_complete", streams.complete);
  count("streams_resumed", streams.resumed);
  count("streams_told_problem", streams.ended_with_problem);
  count("streams_refused", streams.refused);
  count("checkouts_not_run", actions.not_run);
  count("checkouts_unknown", actions.unknown);
  count("stop_exit_code", static_cast<uint64_t>(exit_code));
}

int Main(uint64_t seed) {
  LoopbackDeployment deployment(kEntriesByPlace);
  EventLoop loop;
  HttpClient client(loop);
  RollOutFirstBundle(loop, client, deployment);
  DeploymentMonitor monitor(loop, client, deployment);
  DeploymentLoad load(loop, client, monitor, kRates, seed);
  monitor.Start();
  DeploymentProcess& stopped = deployment.entries()[seed % 3];
  DeploymentProcess& killed = deployment.entries()[(seed + 1) % 3];
  const auto end = [](DeploymentProcess& entry, int signal_number) {
    entry.is_in_use = false;
    entry.process->Signal(signal_number);
  };
  loop.Schedule(kSettleTime, [&] { load.Start(kLoadTime); });
  loop.Schedule(kSettleTime + kStopAfter, [&] { end(stopped, SIGTERM); });
  loop.Schedule(kSettleTime + kKillAfter, [&] { end(killed, SIGKILL); });
  RunUntilLoadEnds(loop, load, kSettleTime + kLoadTime, kTimeout);
  const EndpointTotals totals = ReadEndpointTotals(deployment);
  Print(load, totals, stopped.process->Wait());
  return 0;
}

}  // namespace
}  // namespace pistachiowalk::testing

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: measure_takeover SEED\n";
    return 2;
  }
  return pistachiowalk::testing::Main(std::strtoull(argv[1], nullptr, 10));
}
