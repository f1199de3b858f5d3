#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "rollout/rollout_report.h"
#include "rollout/worker_evidence.h"

namespace pistachiowalk {

struct RolloutVerdict {
  enum class Kind : uint8_t { kOpen, kGood, kBad };
  Kind kind = Kind::kOpen;
  std::string reason;
  // Key and value pairs.
  std::vector<std::pair<std::string, std::string>> evidence;
};

// Compares the target of one roll-out with the old versions by the nodes'
// reports. Does no I/O.
//
// Takes what the reports have more than the previous ones in slices of time and
// tests, on each route and over all, whether the target fails or is slow more
// often than the old versions in the same seconds: sequential probability ratio
// tests, so that a verdict waits for no fixed number of answers.
class RolloutJudge {
 public:
  // An older report of the same incarnation has no effect.
  void Add(const RolloutReport& report, TimePoint now);
  // Tests the current slice if it has lasted long enough.
  void Step(TimePoint now);

  // kBad as soon as the evidence suffices. kGood needs each route with a
  // notable part of the requests to be covered; it needs less evidence the
  // smaller `patience`, from 1 to 0, is.
  RolloutVerdict Verdict(double patience, TimePoint now) const;

  // Requests that all nodes sent, repeats included.
  uint64_t sent() const { return m_sent_old + m_sent_target; }
  uint64_t sent_to_target() const { return m_sent_target; }
  std::map<std::string, uint64_t> SentByRoute() const;
  size_t node_count() const { return m_nodes.size(); }

 private:
  struct Node {
    TimePoint received_at{};
    RolloutReport report;
  };
  struct RouteSlice {
    VersionCounts old_versions;
    VersionCounts target;
    std::map<uint64_t, VersionCounts> workers;
  };
  // Answers of the old versions, earlier ones weighing less.
  struct Usual {
    double answers = 0.0;
    double bad = 0.0;
    std::array<double, kRolloutTimeBuckets> times{};
    // Highest shares of bad and slow answers of late.
    double peak_bad_share = 0.0;
    double peak_slow_share = 0.0;
  };
  struct Test {
    WorkerEvidence evidence;
    // By hypotheses that allow less for faults on both sides; counts once the
    // target has had many bad answers.
    WorkerEvidence strict_evidence;
    // Log likelihood ratio of all answers together, earlier ones weighing less.
    double total_ratio = 0.0;
    uint64_t answers = 0;
  };
  struct TestSlices {
    WorkerEvidence::Slices slices;
    WorkerEvidence::Slices strict_slices;
    // Answers while the old versions failed too often for an acquittal do not
    // count.
    double ratio = 0.0;
    uint64_t answers = 0;

    void Add(uint64_t key,
             uint32_t hits,
             uint32_t answers_of_worker,
             const ShareHypotheses& shares,
             const ShareHypotheses& strict_shares);
  };
  struct Route {
    Usual usual;
    Test failures;
    Test slowness;
    uint64_t sent = 0;
    uint64_t target_answers = 0;
  };
  void AddRoute(const RouteVersionCounts& later,
                const RouteVersionCounts& earlier);
  void EndSlice(TimePoint now);
  void AddTo(Test& test,
             const TestSlices& slices,
             double maximum_gain,
             double maximum_debt) const;
  void TestFailures(Route& route, const RouteSlice& slice, bool is_moving);
  void TestTimes(Route& route, const RouteSlice& slice, bool is_moving);
  void Prune();
  double Threshold(const WorkerEvidence& evidence, double ratio) const;

  std::map<NodeId, Node> m_nodes;
  // Routes and their workers in the reports of all nodes.
  size_t m_node_counts = 0;
  std::set<NodeId> m_stopped_nodes;
  std::map<std::string, RouteSlice> m_slice;
  TimePoint m_slice_since{};
  TimePoint m_target_answered_at{};
  std::map<std::string, Route> m_routes;
  Test m_failures;
  Test m_slowness;
  TestSlices m_failure_slices;
  TestSlices m_slowness_slices;
  // Bad and slow answers of the target beyond the share of the old versions.
  double m_target_excess = 0.0;
  uint64_t m_sent_old = 0;
  uint64_t m_sent_target = 0;
  uint64_t m_target_answers = 0;
  uint64_t m_target_bad = 0;
  uint64_t m_old_answers = 0;
  uint64_t m_old_bad = 0;
};

}  // namespace pistachiowalk
