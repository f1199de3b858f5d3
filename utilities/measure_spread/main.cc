#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <string>

#include "bundle_text.h"
#include "node_cores.h"

// Measures how fast bundle changes come into force and what replication and
// membership cost a node, with the cores of many nodes in one process.
namespace pistachiowalk {
namespace {

using std::chrono::seconds;

constexpr size_t kCustomers = 900;
constexpr double kChangesPerSecond = 0.82;
constexpr double kPeakFactor = 10.0;
constexpr Duration kSettle = seconds(4);
constexpr Duration kDetection = seconds(13);
constexpr double kSecondsPerDay = 86400.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void Print(const std::string& key, double value, const char* unit) {
  std::cout << fmt::format("{}: {:.6g} {}", key, value, unit) << std::endl;
}

template <class Value>
double HighestOf(const NodeCores& cores, Value value) {
  double highest = 0.0;
  for (const MeasuredNode& node : cores.nodes()) {
    highest = std::max(highest, value(node));
  }
  return highest;
}

void PrintSpread(const std::string& prefix,
                 const NodeCores& cores,
                 const BundleCheckCost& check,
                 Duration load) {
  const double passed = Seconds(load);
  const auto per_second = [passed](uint64_t count) {
    return static_cast<double>(count) / passed;
  };
  Print(prefix + "bytes_per_node_second",
        HighestOf(cores, [&](const auto& n) { return per_second(n.bytes); }),
        "B/s");
  Print(prefix + "messages_per_node_second",
        HighestOf(cores, [&](const auto& n) { return per_second(n.messages); }),
        "1/s");
  Print(prefix + "cpu_share",
        HighestOf(cores,
                  [&](const auto& n) {
                    const double checks =
                        static_cast<double>(n.checks) * check.cpu_seconds;
                    return (n.cpu_seconds + checks) / passed;
                  }),
        "share");
  Print(prefix + "state_bytes",
        HighestOf(cores,
                  [&](const auto& n) {
                    return static_cast<double>(n.membership->StateBytes() +
                                               n.replicator->StateBytes()) +
                           check.parsed_bytes;
                  }),
        "B");
  Print(prefix + "store_calls_per_second", per_second(cores.store_calls()),
        "1/s");
}

void PrintDetection(const std::string& prefix,
                    const NodeCores& cores,
                    Duration simulated) {
  const std::vector<double> times = cores.DetectionSeconds();
  const double node_days = static_cast<double>(cores.nodes().size()) *
                           Seconds(simulated) / kSecondsPerDay;
  if (!times.empty()) {
    constexpr double kPercentile = 0.99;
    const auto index = static_cast<size_t>(
        kPercentile * static_cast<double>(times.size() - 1));
    Print(prefix + "true_p99_s", times[index], "s");
    Print(prefix + "true_p100_s", times.back(), "s");
  }
  Print(prefix + "missed", static_cast<double>(cores.MissedFailures()),
        "count");
  Print(prefix + "false_per_node_day",
        static_cast<double>(cores.false_failures()) / node_days, "1/day");
  Print(prefix + "node_days", node_days, "day");
}

// Duration of each phase of a run, in simulated time.
struct RunPlan {
  Duration warm_up;
  Duration load;
  Duration peak;
};

// NOTE: The largest fleet runs shorter, to fit the time of a measurement.
RunPlan PlanFor(size_t nodes) {
  constexpr size_t kShortRunFrom = 500;
  constexpr size_t kShortestRunFrom = 1000;
  if (nodes >= kShortestRunFrom) {
    return {seconds(20), seconds(10), seconds(4)};
  }
  return nodes >= kShortRunFrom
             ? RunPlan{seconds(15), seconds(10), seconds(5)}
             : RunPlan{seconds(20), seconds(20), seconds(15)};
}

void Measure(size_t nodes, uint64_t seed) {
  constexpr size_t kLargeFleet = 100;
  constexpr size_t kDataCenters = 18;
  constexpr size_t kSmallFleetDataCenters = 3;
  const BundleCheckCost check = MeasureBundleCheck(kCustomers);
  NodeCores cores({.nodes = nodes,
                   .data_centers = nodes >= kLargeFleet
                                       ? kDataCenters
                                       : kSmallFleetDataCenters,
                   .customers = kCustomers,
                   .seed = seed});
  const std::string size = std::to_string(nodes);
  const RunPlan plan = PlanFor(nodes);
  cores.Run(plan.warm_up, 0.0);
  cores.ResetCounters();
  cores.Run(plan.load, kChangesPerSecond);
  PrintSpread("spread." + size + ".", cores, check, plan.load);
  cores.Run(kSettle, 0.0);
  Print("spread." + size + ".in_force_p100_s", cores.InForceSeconds(), "s");
  cores.ResetCounters();
  cores.Run(plan.peak, kPeakFactor * kChangesPerSecond);
  PrintSpread("spread_peak." + size + ".", cores, check, plan.peak);
  cores.Run(kSettle, 0.0);
  Print("spread_peak." + size + ".in_force_p100_s", cores.InForceSeconds(),
        "s");
  constexpr size_t kKilledShare = 50;
  cores.Kill(std::max<size_t>(1, nodes / kKilledShare));
  cores.Run(kDetection, 0.0);
  PrintDetection(
      "detect." + size + ".", cores,
      plan.warm_up + plan.load + plan.peak + 2 * kSettle + kDetection);
}

int Main(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description description;
  uint64_t seed = 1;
  std::vector<size_t> sizes;
  description.add_options()("seed", options::value(&seed), "random seed")(
      "nodes", options::value(&sizes)->multitoken(), "fleet sizes");
  options::variables_map arguments;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   arguments);
    options::notify(arguments);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n' << description;
    return 2;
  }
  if (sizes.empty()) {
    sizes = {8, 140, 600, 2500};
  }
  for (const size_t size : sizes) {
    Measure(size, seed);
  }
  return 0;
}

}  // namespace
}  // namespace pistachiowalk

int main(int argc, char** argv) {
  return pistachiowalk::Main(argc, argv);
}
