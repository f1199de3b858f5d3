#include "daemon/node_network.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <chrono>
#include <random>
#include <variant>

#include "daemon/membership_log_events.h"

namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;

// Returns the wall-clock time in microseconds, which increases with each start
// of a node.
uint64_t StartIncarnation(const Clock& clock) {
  const auto since_epoch = clock.WallNow().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count());
}

}  // namespace

struct NodeNetwork::Gauges {
  explicit Gauges(prometheus::Registry& registry)
      : members(prometheus::BuildGauge()
                    .Name("pistachiowalk_members")
                    .Help("Entry nodes of this data centre by state")
                    .Register(registry)),
        messages(prometheus::BuildGauge()
                     .Name("pistachiowalk_node_messages")
                     .Help("Messages between entry nodes since the start")
                     .Register(registry)),
        bytes(prometheus::BuildGauge()
                  .Name("pistachiowalk_node_bytes")
                  .Help("Bytes between entry nodes since the start")
                  .Register(registry)) {}

  prometheus::Family<prometheus::Gauge>& members;
  prometheus::Family<prometheus::Gauge>& messages;
  prometheus::Family<prometheus::Gauge>& bytes;
};

NodeNetwork::NodeNetwork(EventLoop& loop,
                         const Clock& clock,
                         prometheus::Registry& registry,
                         NodeNetworkOptions options)
    : m_loop(loop),
      m_clock(clock),
      m_options(std::move(options)),
      m_gauges(std::make_unique<Gauges>(registry)) {
  // NOTE: Without a configured key no other node can be authenticated. A random
  // key makes this node reject all of them.
  if (m_options.keys.empty()) {
    m_options.keys.push_back(GenerateClusterKey());
  }
}

NodeNetwork::~NodeNetwork() {
  m_loop.Cancel(m_tick);
}

leaf::result<void> NodeNetwork::Open(const NodeAddress& http) {
  const uint64_t incarnation = StartIncarnation(m_clock);
  NodeTransportOptions transport{.listen = m_options.listen,
                                 .node = m_options.node,
                                 .incarnation = incarnation,
                                 .keys = m_options.keys};
  BOOST_LEAF_ASSIGN(m_transport,
                    NodeTransport::Create(m_loop, m_clock, std::move(transport),
                                          [this](const NodeEnvelope& envelope) {
                                            OnEnvelope(envelope);
                                          }));
  MembershipOptions options{.node = m_options.node,
                            .data_center = m_options.data_center,
                            .address = m_transport->address(),
                            .http = http,
                            .incarnation = incarnation,
                            .seeds = m_options.seeds};
  std::erase(options.seeds, options.address);
  m_membership = std::make_unique<Membership>(
      std::move(options), std::random_device()(), m_clock.Now());
  LogEvent(membership_log::kListening,
           {{"address", FormatNodeAddress(m_transport->address())}});
  m_tick = m_loop.Schedule(Duration::zero(), [this] { Tick(); });
  return {};
}

NodeAddress NodeNetwork::address() const {
  return m_transport ? m_transport->address() : NodeAddress{};
}

NodeTransportCounts NodeNetwork::counts() const {
  return m_transport ? m_transport->counts() : NodeTransportCounts{};
}

void NodeNetwork::Tick() {
  m_tick = m_loop.Schedule(kMembershipTickInterval, [this] { Tick(); });
  MembershipCommands commands;
  m_membership->Tick(m_clock.Now(), commands);
  Perform(commands);
  UpdateGauges();
}

void NodeNetwork::Leave() {
  if (!m_membership) {
    return;
  }
  MembershipCommands commands;
  m_membership->Leave(m_clock.Now(), commands);
  Perform(commands);
  LogEvent(membership_log::kLeaveTold, {{"node", m_options.node.value()}});
}

void NodeNetwork::OnEnvelope(const NodeEnvelope& envelope) {
  constexpr auto kLastMembershipKind = static_cast<NodeMessageKind>(99);
  if (envelope.kind <= kLastMembershipKind) {
    MembershipCommands commands;
    m_membership->Receive(envelope, m_clock.Now(), commands);
    Perform(commands);
    return;
  }
  if (const auto it = m_handlers.find(envelope.kind); it != m_handlers.end()) {
    it->second(envelope);
  }
}

void NodeNetwork::Perform(const MembershipCommands& commands) {
  for (const MembershipCommand& command : commands) {
    if (const auto* send = std::get_if<SendMembershipMessage>(&command)) {
      m_transport->Send(send->to, send->kind, send->payload);
    } else if (const auto* change = std::get_if<MemberChanged>(&command)) {
      LogEvent(membership_log::kMemberChanged,
               {{"member", change->member.node.value()},
                {"state", MemberStateName(change->member.state)},
                {"incarnation", std::to_string(change->member.incarnation)}});
      if (m_on_change) {
        m_on_change(change->member);
      }
    }
  }
}

void NodeNetwork::UpdateGauges() {
  std::unordered_map<MemberState, double> counts;
  for (const auto& [node, record] : m_membership->table().records()) {
    ++counts[record.member.state];
  }
  for (const MemberState state : {MemberState::kAlive, MemberState::kSuspect,
                                  MemberState::kFailed, MemberState::kLeft}) {
    m_gauges->members.Add({{"state", MemberStateName(state)}})
        .Set(counts[state]);
  }
  const NodeTransportCounts& transport = m_transport->counts();
  const auto set = [](auto& family, const char* direction, uint64_t value) {
    family.Add({{"direction", direction}}).Set(static_cast<double>(value));
  };
  set(m_gauges->messages, "sent", transport.sent_messages);
  set(m_gauges->messages, "received", transport.received_messages);
  set(m_gauges->messages, "refused", transport.refused_messages);
  set(m_gauges->bytes, "sent", transport.sent_bytes);
  set(m_gauges->bytes, "received", transport.received_bytes);
  if (transport.refused_messages > m_reported_refusals) {
    const bool is_first = m_reported_refusals == 0;
    m_reported_refusals = transport.refused_messages;
    // NOTE: Logged only once, so that an unauthenticated sender cannot flood
    // the log. The count is a metric.
    if (is_first) {
      LogEvent(membership_log::kMessagesRefused, {});
    }
  }
}

std::vector<NodeView> NodeNetwork::LocalNodes() const {
  std::vector<NodeView> views;
  if (!m_membership) {
    return views;
  }
  const MemberTable& table = m_membership->table();
  for (const NodeId& node : table.live()) {
    const Member& member = *table.Find(node);
    views.push_back(
        NodeView{.node = node,
                 .data_center = member.data_center,
                 .http_url = "http://" + FormatNodeAddress(member.http)});
  }
  return views;
}

std::vector<NodeView> NodeNetwork::GatewaysOf(
    const DataCenterName& data_center) const {
  std::vector<NodeView> views;
  if (!m_membership) {
    return views;
  }
  for (const NodeId& node : m_membership->RemoteGateways(m_clock.Now())) {
    const auto it = m_membership->digests().find({data_center, node});
    if (it != m_membership->digests().end()) {
      views.push_back(NodeView{
          .node = node,
          .data_center = data_center,
          .http_url = "http://" + FormatNodeAddress(it->second.digest.http)});
    }
  }
  return views;
}

void NodeNetwork::Send(const NodeId& to,
                       NodeMessageKind kind,
                       std::string payload) {
  const auto address =
      m_membership ? m_membership->AddressOf(to) : std::nullopt;
  if (address) {
    m_transport->Send(*address, kind, std::move(payload));
  }
}

void NodeNetwork::SendAcknowledged(const NodeId& to,
                                   NodeMessageKind kind,
                                   std::string payload,
                                   DeliveryCallback callback) {
  const auto address =
      m_membership ? m_membership->AddressOf(to) : std::nullopt;
  if (!address) {
    m_loop.Post([callback = std::move(callback)] { callback(false); });
    return;
  }
  m_transport->SendAcknowledged(*address, kind, std::move(payload),
                                std::move(callback));
}

void NodeNetwork::OnMessage(NodeMessageKind kind, Handler handler) {
  m_handlers[kind] = std::move(handler);
}

}  // namespace pistachiowalk
