#include "membership/membership_harness.h"

#include <variant>

namespace pistachiowalk::testing {
namespace {

constexpr size_t kMaximumHistory = 4000;
constexpr uint16_t kPort = 7000;

}  // namespace

void MembershipHarness::Start(const std::string& name,
                              const std::string& data_center,
                              uint64_t incarnation) {
  Node& node = m_nodes[name];
  if (node.options.address.ip == 0) {
    node.options.address = {static_cast<uint32_t>(m_nodes.size()), kPort};
    m_names[node.options.address] = name;
  }
  node.options.node = NodeId(name);
  node.options.data_center = DataCenterName(data_center);
  node.options.incarnation = incarnation;
  node.options.seeds = {NodeAddress{1, kPort}, NodeAddress{2, kPort}};
  node.core = std::make_unique<Membership>(node.options, m_random(), m_now);
  node.is_running = true;
  node.is_paused = false;
}

void MembershipHarness::Leave(const std::string& name) {
  MembershipCommands commands;
  m_nodes.at(name).core->Leave(m_now, commands);
  Perform(name, commands);
}

void MembershipHarness::Perform(const std::string& from,
                                MembershipCommands& commands) {
  for (MembershipCommand& command : commands) {
    if (const auto* change = std::get_if<MemberChanged>(&command)) {
      if (on_change) {
        observer = from;
        on_change(*this, *change);
      }
      continue;
    }
    auto& send = std::get<SendMembershipMessage>(command);
    const bool is_lost =
        std::uniform_real_distribution<>(0, 1)(m_random) < m_loss;
    if (!is_lost) {
      m_messages.push_back({from, send.to,
                            NodeEnvelope{.sender = NodeId(from),
                                         .kind = send.kind,
                                         .payload = std::move(send.payload)}});
    }
  }
}

void MembershipHarness::Deliver(const std::string& to,
                                const NodeEnvelope& envelope) {
  MembershipCommands commands;
  m_nodes.at(to).core->Receive(envelope, m_now, commands);
  Perform(to, commands);
}

void MembershipHarness::Run(Duration duration) {
  const TimePoint end = m_now + duration;
  while (m_now < end) {
    m_now += kMembershipTickInterval;
    for (auto& [name, node] : m_nodes) {
      if (node.is_running && !node.is_paused) {
        MembershipCommands commands;
        node.core->Tick(m_now, commands);
        Perform(name, commands);
      }
    }
    while (!m_messages.empty()) {
      const Message message = std::move(m_messages.front());
      m_messages.pop_front();
      const auto it = m_names.find(message.to);
      if (it == m_names.end()) {
        continue;
      }
      Node& target = m_nodes.at(it->second);
      const bool is_reachable =
          target.is_running && !target.is_paused &&
          target.partition == m_nodes.at(message.from).partition;
      if (!is_reachable) {
        continue;
      }
      if (m_history.size() < kMaximumHistory) {
        m_history.emplace_back(it->second, message.envelope);
      }
      Deliver(it->second, message.envelope);
    }
  }
}

MemberState MembershipHarness::StateAt(const std::string& observer_name,
                                       const std::string& name) {
  const Member* member =
      m_nodes.at(observer_name).core->table().Find(NodeId(name));
  return member == nullptr ? MemberState::kFailed : member->state;
}

size_t MembershipHarness::LiveCountAt(const std::string& observer_name) {
  return m_nodes.at(observer_name).core->table().live().size();
}

}  // namespace pistachiowalk::testing
