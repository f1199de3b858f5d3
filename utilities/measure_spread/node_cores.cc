#include "node_cores.h"

#include <algorithm>
#include <ctime>
#include <limits>
#include <variant>

#include "bundle_text.h"

namespace pistachiowalk {
namespace {

using std::chrono::microseconds;

constexpr size_t kDataCentersPerRegion = 3;
constexpr size_t kDatagramHeaderBytes = 28;
constexpr size_t kTcpExchangeBytes = 400;
constexpr size_t kHttpHeaderBytes = 300;
constexpr Duration kWithinDataCenter = microseconds(250);
constexpr Duration kBetweenDataCenters = microseconds(500);
constexpr Duration kBetweenRegions = microseconds(12000);
constexpr Duration kStoreLatency = microseconds(3000);
constexpr uint16_t kPort = 7000;

class CpuTimer {
 public:
  explicit CpuTimer(double& total) : m_total(total), m_start(Now()) {}
  ~CpuTimer() { m_total += Now() - m_start; }
  CpuTimer(const CpuTimer&) = delete;
  CpuTimer& operator=(const CpuTimer&) = delete;

 private:
  static double Now() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double kNanosecondsPerSecond = 1e9;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
  }

  double& m_total;
  double m_start;
};

ClusterKey MeasuredKey() {
  ClusterKey key;
  key.fill(1);
  return key;
}

}  // namespace

NodeCores::NodeCores(const Options& options)
    : m_options(options), m_random(options.seed), m_codec({MeasuredKey()}) {
  m_nodes.resize(options.nodes);
  std::vector<NodeAddress> seeds;
  for (size_t i = 0; i < options.nodes; ++i) {
    MeasuredNode& node = m_nodes[i];
    node.name = NodeId("entry-node-" + std::to_string(i));
    node.data_center = i % options.data_centers;
    node.address = {static_cast<uint32_t>(i + 1), kPort};
    m_by_address[node.address] = i;
    m_by_name[node.name] = i;
    if (seeds.size() < 2 * options.data_centers) {
      seeds.push_back(node.address);
    }
  }
  for (size_t i = 0; i < options.nodes; ++i) {
    MeasuredNode& node = m_nodes[i];
    MembershipOptions membership{
        .node = node.name,
        .data_center =
            DataCenterName("data-center-" + std::to_string(node.data_center)),
        .address = node.address,
        .http = node.address,
        .seeds = seeds};
    node.membership =
        std::make_unique<Membership>(membership, m_random(), m_now);
    node.replicator = std::make_unique<BundleReplicator>(
        node.name,
        [this, i](SignedBundle bundle) {
          ++m_nodes[i].checks;
          return Check(std::move(bundle));
        },
        m_random(), m_now);
    const auto offset = std::uniform_int_distribution<Duration::rep>(
        0, kMembershipTickInterval.count())(m_random);
    Push({.at = m_now + Duration(offset), .kind = EventKind::kTick, .node = i});
  }
  PopulateMembership();
  // NOTE: Twice, since the first bundle is stored whole and each later one as a
  // chain.
  RollChange();
  RollChange();
}

// Gives each node the member table of its data centre, as after a long run: the
// start of a whole fleet at once is not measured.
void NodeCores::PopulateMembership() {
  std::vector<std::vector<Member>> members(m_options.data_centers);
  for (const MeasuredNode& node : m_nodes) {
    members[node.data_center].push_back(node.membership->self());
  }
  for (MeasuredNode& node : m_nodes) {
    const std::vector<Member>& local = members[node.data_center];
    for (size_t i = 0; i < local.size(); i += kMaximumMembersPerMessage) {
      GossipMessage message{.sender = local.front()};
      // NOTE: Filled up by wrapping around, since the members of a short
      // message would be rebroadcast.
      for (size_t j = 0; j < kMaximumMembersPerMessage; ++j) {
        message.members.push_back(local[(i + j) % local.size()]);
      }
      MembershipCommands commands;
      node.membership->Receive(
          {.kind = NodeMessageKind::kGossip, .payload = EncodeMessage(message)},
          m_now, commands);
    }
  }
}

void NodeCores::Push(Event event) {
  event.order = ++m_last_order;
  m_events.push(std::move(event));
}

Duration NodeCores::Latency(size_t from, size_t to) const {
  const size_t a = m_nodes[from].data_center;
  const size_t b = m_nodes[to].data_center;
  if (a == b) {
    return kWithinDataCenter;
  }
  return a / kDataCentersPerRegion == b / kDataCentersPerRegion
             ? kBetweenDataCenters
             : kBetweenRegions;
}

void NodeCores::Run(Duration duration, double changes_per_second) {
  const TimePoint end = m_now + duration;
  std::exponential_distribution<> gap(std::max(changes_per_second, 1e-9));
  const auto next_gap = [&] {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(gap(m_random), 1e6)));
  };
  TimePoint next_change = m_now + next_gap();
  while (m_now < end) {
    const TimePoint next = std::min(m_events.top().at, end);
    if (next_change <= next) {
      m_now = next_change;
      RollChange();
      next_change += next_gap();
      continue;
    }
    m_now = next;
    if (m_events.top().at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      Handle(event);
    }
  }
}

void NodeCores::Handle(const Event& event) {
  MeasuredNode& node = m_nodes[event.node];
  if (!node.is_running) {
    return;
  }
  switch (event.kind) {
    case EventKind::kTick:
      Tick(event.node);
      return;
    case EventKind::kFrame:
      Receive(event.node, *event.frame);
      return;
    case EventKind::kWatchEnd: {
      const auto it = std::find_if(
          m_watches.begin(), m_watches.end(), [&event](const Watch& watch) {
            return watch.node == event.node && watch.call == event.call;
          });
      if (it != m_watches.end()) {
        m_watches.erase(it);
        Answer(event.node, event.call,
               {StoreStatus::kOk, m_revision, m_stored_value});
      }
      return;
    }
    case EventKind::kStoreAnswer: {
      node.bytes += event.result.value.size() + kHttpHeaderBytes;
      ++node.messages;
      BundleReplicatorCommands commands;
      {
        const CpuTimer timer(node.cpu_seconds);
        node.replicator->OnStoreAnswer(event.call, event.result, m_now,
                                       commands);
      }
      Perform(event.node, commands);
      return;
    }
  }
}

ReplicationPeers NodeCores::PeersOf(const MeasuredNode& node) const {
  ReplicationPeers peers{.local = node.membership->table().live(),
                         .watchers = node.membership->gateways(),
                         .remote = node.membership->RemoteGateways(m_now)};
  peers.total_watchers = peers.watchers.size() + peers.remote.size();
  return peers;
}

void NodeCores::Tick(size_t index) {
  MeasuredNode& node = m_nodes[index];
  Push({.at = m_now + kMembershipTickInterval,
        .kind = EventKind::kTick,
        .node = index});
  MembershipCommands membership;
  BundleReplicatorCommands replicator_commands;
  {
    const CpuTimer timer(node.cpu_seconds);
    node.membership->Tick(m_now, membership);
    if (node.view_generation != node.membership->view_generation()) {
      node.view_generation = node.membership->view_generation();
      node.replicator->SetPeers(PeersOf(node));
    }
    node.replicator->Tick(m_now, replicator_commands);
  }
  Perform(index, membership);
  Perform(index, replicator_commands);
}

void NodeCores::Receive(size_t index, const std::string& frame) {
  MeasuredNode& node = m_nodes[index];
  node.bytes += frame.size() + kDatagramHeaderBytes;
  ++node.messages;
  MembershipCommands membership;
  BundleReplicatorCommands replicator_commands;
  {
    const CpuTimer timer(node.cpu_seconds);
    const auto opened = m_codec.Open(frame, node.address);
    if (!opened || !node.replays.Accept(opened->envelope, m_now)) {
      return;
    }
    node.membership->Receive(opened->envelope, m_now, membership);
    node.replicator->Receive(opened->envelope, m_now, replicator_commands);
  }
  Perform(index, membership);
  Perform(index, replicator_commands);
}

void NodeCores::Perform(size_t index, const MembershipCommands& commands) {
  for (const MembershipCommand& command : commands) {
    if (const auto* send = std::get_if<SendMembershipMessage>(&command)) {
      Send(index, send->to, send->kind, send->payload);
    } else if (const auto* change = std::get_if<MemberChanged>(&command)) {
      RecordFailure(index, change->member);
    }
  }
}

void NodeCores::Perform(size_t index,
                        const BundleReplicatorCommands& commands) {
  for (const BundleReplicatorCommand& command : commands) {
    if (const auto* send = std::get_if<SendBundleMessage>(&command)) {
      const auto address = m_nodes[index].membership->AddressOf(send->to);
      if (address) {
        Send(index, *address, send->kind, send->payload);
      }
    } else if (const auto* watch = std::get_if<WatchBundle>(&command)) {
      ++m_store_calls;
      m_nodes[index].bytes += kHttpHeaderBytes;
      if (watch->after < m_revision) {
        Answer(index, watch->call,
               {StoreStatus::kOk, m_revision, m_stored_value});
      } else {
        m_watches.push_back({index, watch->call});
        Push({.at = m_now + kBundleWatchWait,
              .kind = EventKind::kWatchEnd,
              .node = index,
              .call = watch->call});
      }
    } else if (const auto* read = std::get_if<ReadBundleSnapshot>(&command)) {
      ++m_store_calls;
      Answer(index, read->call, {StoreStatus::kOk, 1, m_snapshots[read->key]});
    } else if (std::holds_alternative<ActivateBundle>(command)) {
      RecordInForce(index);
    }
  }
}

void NodeCores::Answer(size_t index, uint64_t call, const StoreResult& result) {
  Push({.at = m_now + kStoreLatency,
        .kind = EventKind::kStoreAnswer,
        .node = index,
        .call = call,
        .result = result});
}

void NodeCores::Send(size_t index,
                     const NodeAddress& to,
                     NodeMessageKind kind,
                     const std::string& payload) {
  MeasuredNode& node = m_nodes[index];
  const auto target = m_by_address.find(to);
  if (target == m_by_address.end()) {
    return;
  }
  std::shared_ptr<const std::string> frame;
  {
    const CpuTimer timer(node.cpu_seconds);
    frame = std::make_shared<const std::string>(
        m_codec.Seal({.sender = node.name,
                      .incarnation = 1,
                      .sequence = ++node.sequence,
                      .kind = kind,
                      .payload = payload},
                     to));
  }
  const bool is_datagram = payload.size() <= 1200;
  node.bytes +=
      frame->size() + (is_datagram ? kDatagramHeaderBytes : kTcpExchangeBytes);
  ++node.messages;
  // NOTE: TCP retransmits lost data; lost datagrams stay lost.
  const bool is_lost = is_datagram && std::uniform_real_distribution<>(
                                          0, 1)(m_random) < m_options.loss;
  if (!is_lost) {
    Push({.at = m_now + Latency(index, target->second),
          .kind = EventKind::kFrame,
          .node = target->second,
          .frame = std::move(frame)});
  }
}

void NodeCores::RollChange() {
  const BundleVersion version = m_changes.size() + 1;
  m_changes.push_back(m_now);
  const SignedBundle bundle{
      MeasuredBundleText(version, m_options.customers,
                         m_random() % m_options.customers),
      {{SigningKeyId("operations"), std::string(128, 'a')}}};
  const auto accepted_text =
      m_stored_text.empty() ? std::nullopt : std::optional(m_stored_text);
  const RollPlan plan = PlanRoll(m_stored, accepted_text, version, bundle);
  if (plan.snapshot) {
    m_snapshots[plan.snapshot->key] = plan.snapshot->text;
  }
  m_stored = plan.next;
  m_stored_text = bundle.text;
  m_stored_value = SerializeStoredBundle(m_stored);
  ++m_revision;
  for (const Watch& watch : m_watches) {
    Answer(watch.node, watch.call,
           {StoreStatus::kOk, m_revision, m_stored_value});
  }
  m_watches.clear();
}

// The signature and the parse are the same work on every node and would take
// most of the run; they are timed separately (MeasureBundleCheck).
BundleVerification NodeCores::Check(SignedBundle bundle) {
  const size_t at = bundle.text.find("version = ");
  constexpr size_t kVersionOffset = 10;
  constexpr size_t kLongestVersion = 20;
  const BundleVersion version =
      std::stoull(bundle.text.substr(at + kVersionOffset, kLongestVersion));
  BundleVerification& known = m_checked[version];
  if (!known.bundle) {
    Bundle parsed;
    parsed.version = version;
    known.bundle = std::make_shared<const Bundle>(std::move(parsed));
    known.envelope = std::make_shared<const SignedBundle>(std::move(bundle));
  }
  return known;
}

void NodeCores::RecordInForce(size_t index) {
  MeasuredNode& node = m_nodes[index];
  const size_t oldest = std::max(node.changes_seen, m_first_change);
  if (oldest < m_changes.size() && node.replicator->version() > oldest) {
    m_longest_propagation =
        std::max(m_longest_propagation, m_now - m_changes[oldest]);
  }
  node.changes_seen = node.replicator->version();
}

double NodeCores::InForceSeconds() const {
  for (const MeasuredNode& node : m_nodes) {
    if (node.is_running && node.changes_seen < m_changes.size()) {
      return std::numeric_limits<double>::infinity();
    }
  }
  return std::chrono::duration<double>(m_longest_propagation).count();
}

void NodeCores::ResetCounters() {
  for (MeasuredNode& node : m_nodes) {
    node.bytes = 0;
    node.messages = 0;
    node.checks = 0;
    node.cpu_seconds = 0.0;
  }
  m_store_calls = 0;
  m_first_change = m_changes.size();
  m_longest_propagation = {};
}

void NodeCores::Kill(size_t count) {
  std::vector<size_t> order(m_nodes.size());
  for (size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::shuffle(order.begin(), order.end(), m_random);
  for (size_t i = 0; i < count; ++i) {
    m_nodes[order[i]].is_running = false;
    m_nodes[order[i]].killed_at = m_now;
  }
}

void NodeCores::RecordFailure(size_t observer, const Member& member) {
  const MeasuredNode& subject = m_nodes[m_by_name.at(member.node)];
  if (member.state != MemberState::kFailed || !m_nodes[observer].is_running) {
    return;
  }
  if (subject.is_running) {
    ++m_false_failures;
    return;
  }
  m_detections.push_back(
      std::chrono::duration<double>(m_now - subject.killed_at).count());
}

std::vector<double> NodeCores::DetectionSeconds() const {
  std::vector<double> sorted = m_detections;
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

uint64_t NodeCores::MissedFailures() const {
  uint64_t missed = 0;
  for (const MeasuredNode& subject : m_nodes) {
    for (const MeasuredNode& observer : m_nodes) {
      if (subject.is_running || !observer.is_running ||
          observer.data_center != subject.data_center) {
        continue;
      }
      const Member* member = observer.membership->table().Find(subject.name);
      missed += member != nullptr && IsLive(*member) ? 1 : 0;
    }
  }
  return missed;
}

}  // namespace pistachiowalk
