#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace pistachiowalk::testing {

// Simulates several Membership instances with a message queue between them and
// a clock that the test advances.
class MembershipHarness {
 public:
  struct Node {
    MembershipOptions options;
    std::unique_ptr<Membership> core;
    bool is_running = true;
    bool is_paused = false;
    // Nodes of different partitions cannot reach each other.
    int partition = 0;
  };

  explicit MembershipHarness(uint64_t seed) : m_random(seed) {}

  // Starts a node, or restarts the one with this name.
  void Start(const std::string& name,
             const std::string& data_center,
             uint64_t incarnation);
  void Stop(const std::string& name) { m_nodes.at(name).is_running = false; }
  void Leave(const std::string& name);
  void Run(Duration duration);
  Node& node(const std::string& name) { return m_nodes.at(name); }
  std::map<std::string, Node>& nodes() { return m_nodes; }
  MemberState StateAt(const std::string& observer, const std::string& name);
  size_t LiveCountAt(const std::string& observer);
  TimePoint now() const { return m_now; }
  void set_loss(double loss) { m_loss = loss; }
  // The first delivered messages with their receivers, for replaying them.
  const std::vector<std::pair<std::string, NodeEnvelope>>& history() const {
    return m_history;
  }
  void Deliver(const std::string& to, const NodeEnvelope& envelope);
  // Called for each MemberChanged command; `observer` names the node that
  // issued it.
  std::function<void(const MembershipHarness&, const MemberChanged&)> on_change;
  std::string observer;

 private:
  struct Message {
    std::string from;
    NodeAddress to;
    NodeEnvelope envelope;
  };

  void Perform(const std::string& from, MembershipCommands& commands);

  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  double m_loss = 0.0;
  std::map<std::string, Node> m_nodes;
  std::map<NodeAddress, std::string> m_names;
  std::deque<Message> m_messages;
  std::vector<std::pair<std::string, NodeEnvelope>> m_history;
};

}  // namespace pistachiowalk::testing
