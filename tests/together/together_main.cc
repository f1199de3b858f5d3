#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "bundle/bundle_roll.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "store/http_store.h"
#include "support/raw_http.h"
#include "together/deployment_load.h"
#include "together/deployment_monitor.h"
#include "together/deployment_report.h"
#include "together/fault_plan.h"
#include "together/loopback_deployment.h"

// measure_together SEED: runs the real programs of one deployment under load,
// injects pairs of faults and prints what callers and endpoints observed.
namespace pistachiowalk::testing {
namespace {

constexpr Duration kLoadTime = std::chrono::seconds(28);
constexpr Duration kFaultInterval = std::chrono::seconds(7);
constexpr EntriesByPlace kEntriesByPlace = {3, 3, 2};
constexpr size_t kFaultPairs = 3;
constexpr LoadRates kRates{.streams_per_second = 12,
                           .actions_per_second = 20,
                           .tokens = 120};
constexpr Duration kTimeout = std::chrono::seconds(44);

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void Print(const DeploymentLoad& load,
           const EndpointTotals& totals,
           const DeploymentMonitor& monitor,
           double cost_ratio,
           uint64_t failed_planned_stops) {
  const StreamTotals& streams = load.streams();
  const ActionTotals actions = CountActions(load.actions(), totals);
  const uint64_t unfinished = UnfinishedRequests(load);
  const auto count = [](const char* name, uint64_t value) {
    std::cout << fmt::format("together.{}: {} count\n", name, value);
  };
  count("requests", streams.started + load.ActionsStarted());
  count("accepted_lost", streams.lost + actions.lost + unfinished);
  count("stream_errors", streams.wrong_tokens);
  count("double_runs", actions.double_runs);
  count("false_not_run", actions.false_not_run);
  count("new_work_after_leaving", totals.requests_after_leaving);
  count("bundle_reverts", monitor.reverts());
  std::cout << fmt::format(
      "together.bundle_in_force_s: {:.3f} s\ntogether.ttft_p95_ms: {:.1f} "
      "ms\ntogether.itl_p95_ms: {:.1f} ms\ntogether.deadline_met_share: "
      "{:.4f} share\n",
      Milliseconds(monitor.LongestRolloutTime()) / 1000,
      Milliseconds(streams.first_tokens.Quantile(0.95)),
      Milliseconds(streams.token_gaps.Quantile(0.95)),
      static_cast<double>(streams.on_time) /
          static_cast<double>(std::max<uint64_t>(1, streams.started)));
  count("recomputed_tokens", totals.recomputed_tokens);
  std::cout << fmt::format("together.cost_ratio_to_on_demand: {:.3f} ratio\n",
                           cost_ratio);
  count("streams_refused", streams.refused);
  count("streams_told_problem", streams.ended_with_problem);
  count("streams_resumed", streams.resumed);
  std::cout << fmt::format("together.resume_gap_p99_ms: {:.1f} ms\n",
                           Milliseconds(streams.resume_gaps.Quantile(0.99)));
  count("actions_not_run", actions.not_run);
  count("actions_unknown", actions.unknown);
  count("bundle_not_everywhere", monitor.IsWaitingForBundle() ? 1 : 0);
  count("bad_exits_of_planned_stops", failed_planned_stops);
}

int Main(uint64_t seed) {
  LoopbackDeployment deployment(kEntriesByPlace);
  EventLoop loop;
  HttpClient client(loop);
  RollOutFirstBundle(loop, client, deployment);
  DeploymentMonitor monitor(loop, client, deployment);
  DeploymentLoad load(loop, client, monitor, kRates, seed);
  FaultPlan faults(loop, client, deployment, monitor, seed);
  monitor.Start();
  loop.Schedule(std::chrono::seconds(2), [&] {
    load.Start(kLoadTime);
    faults.Start(kFaultPairs, kFaultInterval);
  });
  RunUntilLoadEnds(loop, load, std::chrono::seconds(3), kTimeout);
  const double cost_ratio =
      deployment.CostRatioToOnDemand(std::chrono::steady_clock::now());
  const EndpointTotals totals = ReadEndpointTotals(deployment);
  Print(load, totals, monitor, cost_ratio, faults.CountFailedPlannedStops());
  return 0;
}

}  // namespace
}  // namespace pistachiowalk::testing

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: measure_together SEED\n";
    return 2;
  }
  return pistachiowalk::testing::Main(std::strtoull(argv[1], nullptr, 10));
}
