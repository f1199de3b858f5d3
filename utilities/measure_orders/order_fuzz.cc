#include "order_fuzz.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "fleet/lease_holder.h"
#include "fleet/order_tracker.h"
#include "fleet/weight_store_limiter.h"
#include "fuzz_store.h"

namespace pistachiowalk::measure {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(50);
constexpr size_t kScopes = 2;
constexpr size_t kNodesPerScope = 2;
constexpr size_t kEndpointsPerScope = 6;
constexpr size_t kModels = 4;
constexpr double kLoadsPerSecond = 1.5;
constexpr size_t kCommandsPerStep = 4;
constexpr const char* kWeightKey = "weights";

class NullAuditSink final : public AuditSink {
 public:
  void Record(const AuditRecord& /*record*/) override {}
};

// An endpoint with its oracle and the target that it should have.
struct Endpoint {
  EndpointId id;
  stand_in::OrderEndpoint receiver;
  EndpointOracle oracle;
  std::string target;
};

// A message in transit between a node and an endpoint.
struct Message {
  enum class Kind { kOrder, kRead, kOrderAnswer, kFacet };
  Kind kind = Kind::kOrder;
  size_t node = 0;
  size_t endpoint = 0;
  TimePoint due;
  uint64_t call = 0;
  Order order;
  OrderAnswer answer = OrderAnswer::kUnknown;
  FacetState state;
  bool is_answer_lost = false;
};

struct Node {
  size_t scope = 0;
  LeaseHolder lease;
  WeightStoreLimiter shares;
  OrderTracker tracker;
  FencingNumber granted_fence = 0;
  TimePoint paused_until{};
  // Time during which its monotonic clock was suspended.
  Duration suspended{};
  TimePoint cut_until{};
  // Commands that a pause delayed between the lease check and the send.
  std::vector<OrderCommand> delayed_commands;
  std::deque<FuzzStore::Answer> store_answers;
};

class OrderFuzzer {
 public:
  explicit OrderFuzzer(const OrderFuzzOptions& options)
      : m_options(options),
        m_generator(options.seed),
        m_store(options.seed + 1),
        // One load per node, and the loads in transit.
        m_weight_store(kLoadsPerSecond,
                       kScopes * kNodesPerScope + kLoadsPerSecond * 2,
                       m_figures) {
    for (size_t i = 0; i < kScopes * kEndpointsPerScope; ++i) {
      AddEndpoint(i);
    }
    for (size_t i = 0; i < kScopes * kNodesPerScope; ++i) {
      AddNode(i);
    }
  }

  OrderFigures Run() {
    const auto end = m_now + seconds(m_options.seconds);
    while (m_now < end) {
      m_now += kStep;
      InjectFaults();
      DeliverMessages();
      for (const FuzzStore::Answer& answer : m_store.Step(m_now)) {
        m_nodes[answer.caller]->store_answers.push_back(answer);
      }
      for (size_t i = 0; i < m_nodes.size(); ++i) {
        StepNode(i);
      }
      StepOracles();
    }
    for (const auto& node : m_nodes) {
      m_figures.mended += node->tracker.repair_count();
    }
    return m_figures;
  }

 private:
  uint64_t Draw(uint64_t range) { return m_generator() % range; }

  void AddEndpoint(size_t index) {
    const auto check = index % 2 == 0
                           ? stand_in::FencingCheck::kRejectsStaleOrders
                           : stand_in::FencingCheck::kAcceptsStaleOrders;
    const auto behaviour = m_options.fault == InjectedFault::kUncheckedFence
                               ? stand_in::FencingCheck::kAcceptsStaleOrders
                               : check;
    m_endpoints.push_back(std::make_unique<Endpoint>(
        Endpoint{.id = EndpointId(fmt::format("engine-{:02}", index)),
                 .receiver = stand_in::OrderEndpoint(behaviour),
                 .oracle = EndpointOracle(check, m_figures),
                 .target = "model-0"}));
  }

  void AddNode(size_t index) {
    const size_t scope = index / kNodesPerScope;
    const std::string name = fmt::format("node-{}", index);
    auto node = std::make_unique<Node>(Node{
        .scope = scope,
        .lease =
            LeaseHolder(fmt::format("lease/{}", scope), name, m_terms, m_audit),
        .shares = WeightStoreLimiter(kWeightKey, fmt::format("scope-{}", scope),
                                     kLoadsPerSecond, m_terms),
        .tracker =
            OrderTracker(m_terms, m_audit,
                         [this, index](const Order& /*order*/, TimePoint now) {
                           return MayLoad(index, now);
                         })});
    m_nodes.push_back(std::move(node));
  }

  bool MayLoad(size_t index, TimePoint now) {
    return m_options.fault == InjectedFault::kIgnoreShare ||
           m_nodes[index]->shares.TryStartLoad(now);
  }

  // Endpoint indices of a scope.
  size_t FirstEndpoint(size_t scope) const {
    return scope * kEndpointsPerScope;
  }

  // Targets change in bursts, so that the effect of a stale order can also last
  // until a check finds it.
  bool AreTargetsStable() const {
    constexpr Duration kPeriod = seconds(200);
    return m_now.time_since_epoch() % kPeriod > kPeriod / 3;
  }

  void InjectFaults() {
    if (Draw(15) == 0 && !AreTargetsStable()) {
      Endpoint& endpoint = *m_endpoints[Draw(m_endpoints.size())];
      endpoint.target = fmt::format("model-{}", Draw(kModels));
    }
    if (Draw(4000) == 0) {
      m_store.BeginOutage(m_now + seconds(5 + Draw(60)));
    }
    for (const auto& node : m_nodes) {
      if (Draw(1500) == 0) {
        Pause(*node);
      }
      if (Draw(2000) == 0) {
        node->cut_until = m_now + seconds(1 + Draw(20));
      }
    }
  }

  void Pause(Node& node) {
    if (m_now < node.paused_until) {
      return;
    }
    const Duration length = milliseconds(100 + Draw(20000));
    node.paused_until = m_now + length;
    if (Draw(3) == 0) {
      node.suspended += length;
    }
  }

  TimePoint ClockOf(const Node& node) const { return m_now - node.suspended; }

  void StepNode(size_t index) {
    Node& node = *m_nodes[index];
    if (m_now < node.paused_until) {
      return;
    }
    // Delayed commands are sent first, as a paused thread would send them.
    SendAll(index, std::exchange(node.delayed_commands, {}));
    const TimePoint now = ClockOf(node);
    const std::chrono::system_clock::time_point wall(
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            m_now.time_since_epoch()));
    HandleStoreAnswers(node, now);
    if (const auto call = node.lease.Step(now, wall)) {
      m_store.Call(index, *call, m_now);
    }
    if (node.lease.MayOrder(now)) {
      StepHolder(index, now);
    }
  }

  void HandleStoreAnswers(Node& node, TimePoint now) {
    while (!node.store_answers.empty()) {
      const FuzzStore::Answer answer = node.store_answers.front();
      node.store_answers.pop_front();
      if (answer.key == kWeightKey) {
        node.shares.OnAnswer(answer.number, answer.result, now);
      } else {
        node.lease.OnAnswer(answer.number, answer.result, now);
      }
    }
  }

  void StepHolder(size_t index, TimePoint now) {
    Node& node = *m_nodes[index];
    if (node.lease.fence() != node.granted_fence) {
      node.granted_fence = node.lease.fence();
      node.tracker.OnLeaseGranted(node.granted_fence);
      ++m_figures.grants;
    }
    const size_t first = FirstEndpoint(node.scope);
    for (size_t i = first; i < first + kEndpointsPerScope; ++i) {
      node.tracker.SetTarget(m_endpoints[i]->id, OrderFacet::kModel,
                             m_endpoints[i]->target);
    }
    node.shares.SetNeed(
        static_cast<double>(kEndpointsPerScope - node.tracker.CountInForce()) /
            10.0,
        0.0);
    if (const auto call = node.shares.Step(now)) {
      m_store.Call(index, *call, m_now);
    }
    std::vector<OrderCommand> commands =
        node.tracker.Step(node.lease, kCommandsPerStep, now);
    if (!commands.empty() && Draw(8) == 0) {
      // A pause between the lease check and the send, which no check can
      // detect.
      Pause(node);
      node.delayed_commands = std::move(commands);
      return;
    }
    SendAll(index, commands);
  }

  size_t IndexOf(const EndpointId& id) const {
    size_t index = 0;
    while (m_endpoints[index]->id != id) {
      ++index;
    }
    return index;
  }

  void SendAll(size_t index, const std::vector<OrderCommand>& commands) {
    for (const OrderCommand& command : commands) {
      Message message{.node = index};
      if (const auto* send = std::get_if<SendOrder>(&command)) {
        message.kind = Message::Kind::kOrder;
        message.endpoint = IndexOf(send->order.endpoint);
        message.order = send->order;
        message.call = send->call;
      } else {
        const auto& read = std::get<ReadFacet>(command);
        message.kind = Message::Kind::kRead;
        message.endpoint = IndexOf(read.endpoint);
        message.call = read.call;
      }
      m_nodes[index]->tracker.OnSent(message.call, ClockOf(*m_nodes[index]));
      SendMessage(message);
    }
  }

  // A message arrives within the order timeout or never.
  void SendMessage(Message message) {
    const uint64_t draw = Draw(100);
    if (draw < 5 || m_now < m_nodes[message.node]->cut_until) {
      return;
    }
    message.is_answer_lost = draw < 10;
    const uint64_t longest_ms = draw < 25 ? 1850 : 100;
    message.due = m_now + milliseconds(1 + Draw(longest_ms));
    m_messages.push_back(message);
  }

  void DeliverMessages() {
    std::vector<Message> due;
    std::erase_if(m_messages, [&](const Message& message) {
      const bool is_request = message.kind == Message::Kind::kOrder ||
                              message.kind == Message::Kind::kRead;
      const bool is_waiting =
          m_now < message.due ||
          (!is_request && m_now < m_nodes[message.node]->paused_until);
      if (!is_waiting) {
        due.push_back(message);
      }
      return !is_waiting;
    });
    std::shuffle(due.begin(), due.end(), m_generator);
    for (const Message& message : due) {
      Deliver(message);
    }
  }

  void Deliver(const Message& message) {
    OrderTracker& tracker = m_nodes[message.node]->tracker;
    const TimePoint now = ClockOf(*m_nodes[message.node]);
    switch (message.kind) {
      case Message::Kind::kOrder:
        return DeliverOrder(message);
      case Message::Kind::kRead: {
        Message answer = message;
        answer.kind = Message::Kind::kFacet;
        answer.state =
            m_endpoints[message.endpoint]->receiver.StateOf(OrderFacet::kModel);
        return Answer(answer);
      }
      case Message::Kind::kOrderAnswer:
        return tracker.OnOrderAnswer(message.call, message.answer, now);
      case Message::Kind::kFacet:
        return DeliverFacet(message, now);
    }
  }

  void DeliverOrder(const Message& message) {
    Endpoint& endpoint = *m_endpoints[message.endpoint];
    const FacetState before = endpoint.receiver.StateOf(OrderFacet::kModel);
    Message answer = message;
    answer.kind = Message::Kind::kOrderAnswer;
    answer.answer = endpoint.receiver.Apply(message.order);
    endpoint.oracle.RecordApplied(message.order, before, answer.answer);
    if (answer.answer == OrderAnswer::kInForce &&
        before.target != message.order.target) {
      m_weight_store.RecordLoad(m_now);
    }
    if (m_options.fault == InjectedFault::kRepeatWithoutRead && Draw(4) == 0) {
      Message repeat = message;
      repeat.due = m_now + seconds(1 + Draw(90));
      m_messages.push_back(repeat);
    }
    Answer(answer);
  }

  void Answer(const Message& message) {
    if (message.is_answer_lost) {
      return;
    }
    Message answer = message;
    answer.due = m_now + kStep;
    m_messages.push_back(answer);
  }

  void DeliverFacet(const Message& message, TimePoint now) {
    FacetState state = message.state;
    if (m_options.fault == InjectedFault::kNoVerification) {
      // Without verification, a holder assumes that its last order is in force.
      state.target = m_endpoints[message.endpoint]->oracle.highest_target();
    }
    m_nodes[message.node]->tracker.OnFacet(message.call, state, now);
  }

  bool CanRepair(size_t endpoint) const {
    const size_t scope = endpoint / kEndpointsPerScope;
    const FencingNumber newest = m_endpoints[endpoint]->oracle.highest().fence;
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const auto& node) {
      return node->scope == scope && m_now >= node->paused_until &&
             m_now >= node->cut_until && node->granted_fence >= newest &&
             node->lease.MayOrder(ClockOf(*node));
    });
  }

  void StepOracles() {
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
      m_endpoints[i]->oracle.Step(kStep, m_endpoints[i]->target, CanRepair(i));
    }
  }

  OrderFuzzOptions m_options;
  std::mt19937_64 m_generator;
  LeaseTerms m_terms;
  NullAuditSink m_audit;
  OrderFigures m_figures;
  FuzzStore m_store;
  WeightStoreOracle m_weight_store;
  TimePoint m_now{seconds(1000)};
  std::vector<std::unique_ptr<Endpoint>> m_endpoints;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<Message> m_messages;
};

}  // namespace

OrderFigures FuzzOrders(const OrderFuzzOptions& options) {
  return OrderFuzzer(options).Run();
}

}  // namespace pistachiowalk::measure
