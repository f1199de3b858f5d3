#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "bundle/bundle_replicator.h"
#include "bundle/roll_plan.h"
#include "membership/membership.h"
#include "net/node_frame.h"
#include "net/replay_filter.h"

namespace pistachiowalk {

// The cores of one node and the resources they have used.
struct MeasuredNode {
  NodeId name;
  size_t data_center = 0;
  NodeAddress address;
  bool is_running = true;
  TimePoint killed_at;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<BundleReplicator> replicator;
  ReplayFilter replays;
  uint64_t sequence = 0;
  // Generation of the membership view that the replicator last received.
  uint64_t view_generation = ~uint64_t{0};
  // Index into the list of changes up to which this node has taken them in.
  size_t changes_seen = 0;

  uint64_t bytes = 0;
  uint64_t messages = 0;
  uint64_t checks = 0;
  double cpu_seconds = 0.0;
};

// Simulates the cores of many nodes with an event queue and a simulated clock.
class NodeCores {
 public:
  struct Options {
    size_t nodes = 0;
    size_t data_centers = 0;
    size_t customers = 0;
    double loss = 0.01;
    uint64_t seed = 0;
  };

  explicit NodeCores(const Options& options);

  // Runs for `duration`, rolling `changes_per_second` changes meanwhile.
  void Run(Duration duration, double changes_per_second);
  // Resets the usage counters.
  void ResetCounters();
  // Kills `count` nodes, spread over the data centres.
  void Kill(size_t count);

  const std::vector<MeasuredNode>& nodes() const { return m_nodes; }
  // Longest time from a change's acceptance to its being in force, over all
  // changes and nodes; infinite if some node misses one.
  double InForceSeconds() const;
  uint64_t store_calls() const { return m_store_calls; }
  // Times from a node's death until each peer marks it failed, sorted.
  std::vector<double> DetectionSeconds() const;
  // How often a running node was marked failed.
  uint64_t false_failures() const { return m_false_failures; }
  // Failure verdicts on killed nodes that are still missing.
  uint64_t MissedFailures() const;

 private:
  enum class EventKind { kTick, kFrame, kWatchEnd, kStoreAnswer };

  struct Event {
    TimePoint at;
    uint64_t order = 0;
    EventKind kind = EventKind::kTick;
    size_t node = 0;
    uint64_t call = 0;
    StoreResult result;
    std::shared_ptr<const std::string> frame;

    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  struct Watch {
    size_t node = 0;
    uint64_t call = 0;
  };

  void PopulateMembership();
  void Push(Event event);
  void Handle(const Event& event);
  void Tick(size_t index);
  void Receive(size_t index, const std::string& frame);
  void Perform(size_t index, const MembershipCommands& commands);
  void Perform(size_t index, const BundleReplicatorCommands& commands);
  void Send(size_t index,
            const NodeAddress& to,
            NodeMessageKind kind,
            const std::string& payload);
  void RecordInForce(size_t index);
  void RecordFailure(size_t observer, const Member& member);
  void Answer(size_t index, uint64_t call, const StoreResult& result);
  void RollChange();
  BundleVerification Check(SignedBundle bundle);
  ReplicationPeers PeersOf(const MeasuredNode& node) const;
  Duration Latency(size_t from, size_t to) const;

  Options m_options;
  std::mt19937_64 m_random;
  NodeFrameCodec m_codec;
  TimePoint m_now{std::chrono::hours(1)};
  uint64_t m_last_order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<MeasuredNode> m_nodes;
  std::map<NodeAddress, size_t> m_by_address;
  std::unordered_map<NodeId, size_t> m_by_name;
  std::unordered_map<BundleVersion, BundleVerification> m_checked;

  StoredBundle m_stored;
  std::string m_stored_text;
  std::string m_stored_value;
  std::map<std::string, std::string> m_snapshots;
  StoreRevision m_revision = 0;
  std::vector<Watch> m_watches;
  uint64_t m_store_calls = 0;

  std::vector<TimePoint> m_changes;
  // Changes before this index are not measured.
  size_t m_first_change = 0;
  Duration m_longest_propagation{};
  uint64_t m_false_failures = 0;
  std::vector<double> m_detections;
};

}  // namespace pistachiowalk
