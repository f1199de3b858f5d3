#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "gateway/gateway.h"
#include "gateway/gateway_log_events.h"

// Part of Gateway: moves services to other versions of their workers as the
// operator orders. The holder of the duty lease decides and keeps the states in
// the store; the other nodes act by the last state that they have heard.
namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDecisionInterval = milliseconds(200);
// Interval between repeated announcements, which replace lost ones and confirm
// the states, and its increase per receiver. Nodes that hear none for 3 s send
// nothing more to a target.
constexpr Duration kMinimumAnnouncementInterval = milliseconds(500);
constexpr Duration kAnnouncementIntervalPerNode = milliseconds(2);
// Decided states need no confirmation and are repeated this rarely.
constexpr Duration kDecidedInterval = seconds(10);
// A change is repeated like an undecided state for this long, as datagrams may
// be lost.
constexpr Duration kRepeatedChange = seconds(5);
// A holder from which nothing is heard for this long may have been replaced by
// one whose numbers are lower, as the store was restored.
constexpr Duration kHolderSilence = seconds(4);
// Interval between reports when a target has failed requests, and its increase
// per node. Other changes are reported at the longer intervals.
constexpr Duration kFailureReportInterval = milliseconds(200);
constexpr Duration kTargetReportInterval = milliseconds(300);
constexpr Duration kTargetReportIntervalPerNode = milliseconds(2);
constexpr Duration kReportInterval = milliseconds(1500);
constexpr Duration kReportIntervalPerNode = milliseconds(4);
// In a deployment of at most this many nodes all of them get the reports, so
// that a new holder knows them at once.
constexpr size_t kMaximumReportReceivers = 12;
// Of a datagram, which has at most 65,507.
constexpr size_t kMaximumReportBytes = 60000;
// Share of the store's rate of writes for reads and writes of these records.
constexpr double kStoreShare = 0.1;
constexpr Duration kMinimumReadInterval = seconds(2);

bool IsUndecided(const RolloutState& state) {
  return state.stage == RolloutStage::kJudging ||
         state.stage == RolloutStage::kMoving;
}

std::string_view StageName(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kJudging:
      return "judging";
    case RolloutStage::kMoving:
      return "moving";
    case RolloutStage::kCompleted:
      return "completed";
    case RolloutStage::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

// Sum of a count over the routes of all reports.
template <class CountOf>
uint64_t SumOf(const std::vector<RolloutReport>& reports,
               const CountOf& count_of) {
  uint64_t sum = 0;
  for (const RolloutReport& report : reports) {
    for (const RouteVersionCounts& route : report.routes) {
      sum += count_of(route);
    }
  }
  return sum;
}

uint64_t BadAtTarget(const std::vector<RolloutReport>& reports) {
  return SumOf(reports, [](const auto& route) { return route.target.bad; });
}

size_t StoppedCount(const std::vector<RolloutReport>& reports) {
  return static_cast<size_t>(
      std::count_if(reports.begin(), reports.end(),
                    [](const auto& report) { return report.has_stopped; }));
}

uint64_t EventsAtTarget(const std::vector<RolloutReport>& reports) {
  return SumOf(reports, [](const auto& route) {
    return uint64_t{route.target.sent} + route.target.good + route.target.bad;
  });
}

// Leaves out what a datagram cannot carry: the counts by worker, then those of
// the routes with the fewest requests.
void KeepWithinDatagram(RolloutReport& report) {
  if (EncodeMessage(report).size() <= kMaximumReportBytes) {
    return;
  }
  for (RouteVersionCounts& route : report.routes) {
    route.target_workers.clear();
  }
  const auto requests = [](const RouteVersionCounts& route) {
    return uint64_t{route.old_versions.sent} + route.target.sent;
  };
  std::stable_sort(
      report.routes.begin(), report.routes.end(),
      [&](const auto& a, const auto& b) { return requests(a) > requests(b); });
  while (!report.routes.empty() &&
         EncodeMessage(report).size() > kMaximumReportBytes) {
    report.routes.pop_back();
  }
}

// The known state of the same order, or nullptr.
const RolloutState* FindState(const std::vector<RolloutState>& states,
                              const RolloutState& wanted) {
  const auto found = std::find_if(
      states.begin(), states.end(), [&](const RolloutState& state) {
        return state.service == wanted.service &&
               IsSameOrder(state.position, wanted.position);
      });
  return found == states.end() ? nullptr : &*found;
}

}  // namespace

bool Gateway::ReadRolloutOrder(const StoreItem& item) {
  const auto known = m_rollout_orders.find(item.key);
  // NOTE: A store that was restored from a copy keeps the revisions of what it
  // has not lost, so that the order is still the same one.
  if (known != m_rollout_orders.end() &&
      known->second.order.position.revision == item.revision &&
      known->second.text == item.value) {
    // NOTE: A peer's snapshot comes before the store has named its history.
    StorePosition& position = known->second.order.position;
    const StoreHistory history = m_config_follower->as_of().history;
    const bool is_named = position.history == 0 && history != 0;
    position.history = is_named ? history : position.history;
    return is_named;
  }
  std::string reason;
  std::optional<RolloutOrder> order =
      m_ports.codec.ReadRolloutOrder(item, reason);
  if (!order) {
    LogEvent(gateway_log::kRolloutOrderRefused,
             {{"key", item.key},
              {"revision", std::to_string(item.revision)},
              {"reason", reason},
              {"kept", known == m_rollout_orders.end() ? "no" : "yes"}});
    return false;
  }
  order->position.history = m_config_follower->as_of().history;
  LogEvent(
      gateway_log::kRolloutOrdered,
      {{"service", order->service.value()},
       {"target", order->target.value()},
       {"seconds",
        fmt::format("{:.1f}",
                    std::chrono::duration<double>(order->duration).count())},
       {"order", FormatStorePosition(order->position)}});
  m_rollout_orders[item.key] =
      KnownRolloutOrder{.order = std::move(*order), .text = item.value};
  return true;
}

void Gateway::ReplaceRolloutOrders(const std::vector<StoreItem>& items) {
  bool is_changed = false;
  std::set<std::string> listed;
  for (const StoreItem& item : items) {
    if (m_ports.codec.IsRolloutOrderKey(item.key)) {
      listed.insert(item.key);
      is_changed |= ReadRolloutOrder(item);
    }
  }
  for (auto order = m_rollout_orders.begin();
       order != m_rollout_orders.end();) {
    if (listed.contains(order->first)) {
      ++order;
      continue;
    }
    LogEvent(gateway_log::kRolloutWithdrawn,
             {{"service", order->second.order.service.value()},
              {"target", order->second.order.target.value()}});
    order = m_rollout_orders.erase(order);
    is_changed = true;
  }
  if (is_changed) {
    ApplyRolloutOrders();
  }
}

void Gateway::OnRolloutOrderChange(const StoreChange& change) {
  if (!m_ports.codec.IsRolloutOrderKey(change.item.key)) {
    return;
  }
  if (!change.is_removed) {
    if (ReadRolloutOrder(change.item)) {
      ApplyRolloutOrders();
    }
    return;
  }
  const auto order = m_rollout_orders.find(change.item.key);
  if (order != m_rollout_orders.end()) {
    LogEvent(gateway_log::kRolloutWithdrawn,
             {{"service", order->second.order.service.value()},
              {"target", order->second.order.target.value()}});
    m_rollout_orders.erase(order);
    ApplyRolloutOrders();
  }
}

void Gateway::ApplyRolloutOrders() {
  if (!m_edge.are_endpoints_known) {
    // NOTE: Whether an order names the only version that serves is not known
    // yet. Applied with the first list of endpoints.
    return;
  }
  std::vector<RolloutOrder> orders;
  std::set<ServiceName> services;
  for (const auto& [key, known] : m_rollout_orders) {
    orders.push_back(known.order);
    services.insert(known.order.service);
  }
  const TimePoint now = m_ports.clock.Now();
  m_rollouts.SetOrders(orders, now);
  if (now - m_started_at > kHolderSilence) {
    // The holder's first announcement is awaited before the record is read.
    m_rollouts_heard_at = now;
  } else {
    RestoreRollouts(now);
    m_edge.are_rollouts_known = AreRolloutsKnown();
  }
  m_rollout_records.Keep(services);
  m_rollout_controller.Forget(m_rollouts.Orders());
  const auto is_unlisted = [&](const auto& entry) {
    return !services.contains(entry.first);
  };
  std::erase_if(m_logged_rollouts, is_unlisted);
  std::erase_if(m_pending_rollouts, is_unlisted);
}

bool Gateway::AreRolloutsKnown() const {
  std::set<ServiceName> unknown;
  for (const RolloutOrder& order : m_rollouts.Orders()) {
    if (!m_rollout_records.IsRead(order.service)) {
      unknown.insert(order.service);
    }
  }
  for (const RolloutState& state : m_rollouts.States()) {
    unknown.erase(state.service);
  }
  return unknown.empty();
}

void Gateway::OnRolloutReport(const RolloutReport& report) {
  if (!m_rollout_orders.empty()) {
    m_rollout_controller.AddReport(report, m_ports.clock.Now());
  }
}

void Gateway::OnRolloutAnnouncement(const RolloutAnnouncement& announcement,
                                    const SocketAddress& from) {
  const TimePoint now = m_ports.clock.Now();
  const auto number_of = [](const RolloutAnnouncement& heard) {
    return std::pair(heard.fence, heard.sequence);
  };
  const bool is_newer =
      announcement.fence != 0 && !m_lease.MayAct() &&
      (number_of(announcement) > number_of(m_heard_announcement) ||
       now - m_rollouts_heard_at > kHolderSilence);
  const std::vector<RolloutState> known = m_rollouts.States();
  std::vector<RolloutState> unknown_to_sender;
  for (const RolloutState& state : announcement.states) {
    const RolloutState* own = FindState(known, state);
    // NOTE: Only the holder's latest word confirms what is known.
    if (is_newer) {
      m_rollouts.Merge(state, now);
    } else {
      m_rollouts.MergeUnconfirmed(state, now);
    }
    if (own != nullptr && own->number > state.number) {
      unknown_to_sender.push_back(*own);
    }
  }
  if (!is_newer) {
    return;
  }
  m_heard_announcement = announcement;
  m_heard_announcement.states.clear();
  m_rollouts_heard_at = now;
  if (m_digest_plan.represents_data_center) {
    m_digest_exchange->Send(
        announcement,
        AddressesOf(announcement.data_center == m_settings.data_center
                        ? m_digest_plan.remote
                        : m_digest_plan.direct));
  }
  if (!unknown_to_sender.empty()) {
    // NOTE: The holder has just started, and the store has lost the record.
    m_digest_exchange->Send(
        RolloutAnnouncement{.data_center = m_settings.data_center,
                            .states = std::move(unknown_to_sender)},
        {from});
  }
}

void Gateway::SendRollouts(const std::vector<NodeId>& receivers) {
  RolloutAnnouncement announcement = m_heard_announcement;
  announcement.states = m_rollouts.States();
  if (announcement.states.empty()) {
    return;
  }
  announcement.states.resize(
      std::min(announcement.states.size(), kMaximumAnnouncedRollouts));
  m_digest_exchange->Send(announcement, AddressesOf(receivers));
}

void Gateway::StepRollouts() {
  if (m_rollout_orders.empty()) {
    return;
  }
  const TimePoint now = m_ports.clock.Now();
  m_edge.are_rollouts_known = m_edge.are_rollouts_known || AreRolloutsKnown();
  if (m_lease.MayAct()) {
    DecideRollouts(now);
    AnnounceRollouts(now);
  } else {
    RestoreRollouts(now);
  }
  ReportRollouts(now);
  LogRolloutStates();
}

void Gateway::RestoreRollouts(TimePoint now) {
  const double nodes = static_cast<double>(m_peers.peers().size()) + 1.0;
  const double calls_per_second =
      kStoreShare * std::max(1U, m_settings.store_writes_per_second);
  const Duration interval =
      std::max(kMinimumReadInterval,
               std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(nodes / calls_per_second)));
  if (now - m_rollouts_read_at < interval ||
      now - m_rollouts_heard_at < kHolderSilence) {
    return;
  }
  std::set<ServiceName> unheard;
  for (const RolloutOrder& order : m_rollouts.Orders()) {
    unheard.insert(order.service);
  }
  for (const RolloutState& state : m_rollouts.States()) {
    if (!IsUndecided(state)) {
      unheard.erase(state.service);
    }
  }
  if (unheard.empty()) {
    return;
  }
  // NOTE: Drawn at random, so that the nodes do not read at the same time.
  m_rollouts_read_at =
      now - std::chrono::duration_cast<Duration>(
                interval * std::uniform_real_distribution<double>(
                               0.0, 0.5)(m_edge.random));
  m_rollout_records.Forget();
  m_rollout_records.Read(unheard, unheard.size(), now);
}

RolloutInput Gateway::MakeRolloutInput(TimePoint now) const {
  RolloutInput input{.now = now,
                     .cluster_ms = ClusterMilliseconds(),
                     .orders = m_rollouts.Orders(),
                     .states = m_rollouts.States(),
                     .view_age = ViewAge()};
  for (const RolloutOrder& order : input.orders) {
    input.workers[order.service] = RolloutWorkers{};
  }
  for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
    const EndpointEntry& entry = endpoint->entry();
    const auto workers = input.workers.find(entry.service);
    if (workers == input.workers.end()) {
      continue;
    }
    if (m_rollouts.IsTarget(entry.service, entry.version)) {
      ++workers->second.target;
      workers->second.target_keys.push_back(endpoint->key());
    } else {
      ++workers->second.old_versions;
      workers->second.open_at_old_versions +=
          endpoint->own_work.requests + PeerWorkAt(endpoint->key()).requests;
    }
  }
  return input;
}

void Gateway::DecideRollouts(TimePoint now) {
  if (now - m_rollouts_decided_at < kDecisionInterval) {
    return;
  }
  m_rollouts_decided_at = now;
  if (m_rollout_fence != m_lease.fence()) {
    m_rollout_fence = m_lease.fence();
    m_rollout_records.Forget();
    m_pending_rollouts.clear();
  }
  const size_t calls = static_cast<size_t>(std::max(
      1.0, kStoreShare * m_settings.store_writes_per_second *
               std::chrono::duration<double>(kDecisionInterval).count()));
  std::set<ServiceName> services;
  for (const RolloutOrder& order : m_rollouts.Orders()) {
    services.insert(order.service);
  }
  m_rollout_records.Read(services, calls, now);
  const RolloutInput input = MakeRolloutInput(now);
  std::map<ServiceName, RolloutState> wanted;
  for (const RolloutState& state : input.states) {
    wanted[state.service] = state;
    if (IsConfirmable(state)) {
      m_rollouts.Merge(state, now);
    }
  }
  for (const RolloutDecision& decision : m_rollout_controller.Step(input)) {
    // NOTE: Until the record was read, another holder may have decided more.
    if (m_rollout_records.IsRead(decision.state.service)) {
      wanted[decision.state.service] = PendingDecision(decision);
    }
  }
  std::vector<RolloutState> states;
  for (const auto& [service, state] : wanted) {
    if (m_rollout_records.IsRead(service)) {
      states.push_back(state);
    }
  }
  m_rollout_records.Write(states, calls, now);
  for (const RolloutState& state : states) {
    if (m_rollout_records.IsStored(state)) {
      m_rollouts.Merge(state, now);
    }
  }
}

const RolloutState& Gateway::PendingDecision(const RolloutDecision& decision) {
  const RolloutState& state = decision.state;
  RolloutState& pending = m_pending_rollouts[state.service];
  if (pending.position == state.position && pending.number == state.number &&
      pending.stage == state.stage) {
    return pending;
  }
  pending = state;
  std::string evidence;
  for (const auto& [name, value] : decision.evidence) {
    evidence +=
        fmt::format("{}{}={}", evidence.empty() ? "" : " ", name, value);
  }
  LogEvent(gateway_log::kRolloutDecided,
           {{"service", state.service.value()},
            {"target", state.target.value()},
            {"order", FormatStorePosition(state.position)},
            {"number", std::to_string(state.number)},
            {"stage", std::string(StageName(state.stage))},
            {"share", fmt::format("{:.4f}", state.share)},
            {"reason", decision.reason},
            {"evidence", evidence}});
  return pending;
}

bool Gateway::IsConfirmable(const RolloutState& state) const {
  if (!m_rollout_records.IsRead(state.service)) {
    // NOTE: Another holder may have decided more.
    return false;
  }
  const auto pending = m_pending_rollouts.find(state.service);
  // NOTE: While a roll-back is not in the store, nodes stop by themselves.
  return pending == m_pending_rollouts.end() ||
         pending->second.stage != RolloutStage::kRolledBack ||
         !IsSameOrder(pending->second.position, state.position) ||
         pending->second.number <= state.number;
}

void Gateway::AnnounceRollouts(TimePoint now) {
  std::vector<RolloutState> states = m_rollouts.States();
  std::erase_if(states, [this](const RolloutState& state) {
    return !IsConfirmable(state);
  });
  if (states.empty()) {
    return;
  }
  if (m_rollouts.revision() != m_announced_rollouts_revision) {
    m_rollouts_changed_at = now;
  }
  const bool is_undecided =
      std::any_of(states.begin(), states.end(), IsUndecided);
  const Duration interval =
      is_undecided || now - m_rollouts_changed_at < kRepeatedChange
          ? std::max(kMinimumAnnouncementInterval,
                     kAnnouncementIntervalPerNode *
                         static_cast<int64_t>(m_digest_plan.direct.size()))
          : kDecidedInterval;
  if (m_rollouts.revision() == m_announced_rollouts_revision &&
      now - m_rollouts_announced_at < interval) {
    return;
  }
  m_announced_rollouts_revision = m_rollouts.revision();
  m_rollouts_announced_at = now;
  m_rollouts_heard_at = now;
  for (size_t first = 0; first < states.size();
       first += kMaximumAnnouncedRollouts) {
    const size_t end =
        std::min(states.size(), first + kMaximumAnnouncedRollouts);
    if (m_heard_announcement.fence != m_lease.fence()) {
      m_heard_announcement = {.data_center = m_settings.data_center,
                              .fence = m_lease.fence()};
    }
    ++m_heard_announcement.sequence;
    RolloutAnnouncement announcement = m_heard_announcement;
    announcement.states.assign(states.begin() + static_cast<ptrdiff_t>(first),
                               states.begin() + static_cast<ptrdiff_t>(end));
    m_digest_exchange->Send(announcement, AddressesOf(m_digest_plan.direct));
    if (m_digest_plan.represents_data_center) {
      m_digest_exchange->Send(announcement, AddressesOf(m_digest_plan.remote));
    }
  }
}

void Gateway::ReportRollouts(TimePoint now) {
  std::vector<RolloutReport> reports = m_rollouts.Reports();
  if (reports.empty()) {
    m_sent_rollout_reports.clear();
    return;
  }
  for (RolloutReport& report : reports) {
    report.node = m_settings.node;
    report.incarnation = m_incarnation;
    KeepWithinDatagram(report);
    std::erase_if(report.routes, [](const RouteVersionCounts& route) {
      return route.route.size() > kMaximumNameBytes;
    });
  }
  const auto nodes = static_cast<int64_t>(m_peers.peers().size());
  Duration interval = std::max(kReportInterval, kReportIntervalPerNode * nodes);
  if (BadAtTarget(reports) != BadAtTarget(m_sent_rollout_reports) ||
      StoppedCount(reports) != StoppedCount(m_sent_rollout_reports)) {
    interval = kFailureReportInterval;
  } else if (EventsAtTarget(reports) !=
             EventsAtTarget(m_sent_rollout_reports)) {
    interval =
        std::max(kTargetReportInterval, kTargetReportIntervalPerNode * nodes);
  }
  if (now - m_rollouts_reported_at < interval) {
    return;
  }
  m_rollouts_reported_at = now;
  m_sent_rollout_reports = reports;
  std::vector<NodeId> receivers;
  if (m_digest_plan.direct.size() <= kMaximumReportReceivers) {
    receivers = m_digest_plan.direct;
  }
  for (const std::optional<NodeId>& holder :
       {m_peers.DutyHolder(), m_data_centers.DutyHolder()}) {
    if (holder && std::find(receivers.begin(), receivers.end(), *holder) ==
                      receivers.end()) {
      receivers.push_back(*holder);
    }
  }
  ++m_rollout_report_sequence;
  for (RolloutReport& report : reports) {
    report.sequence = m_rollout_report_sequence;
    m_rollout_controller.AddReport(report, now);
    m_digest_exchange->Send(report, AddressesOf(receivers));
  }
}

std::optional<RolloutStage> Gateway::UndecidedStage(
    const ServiceName& service) const {
  if (m_rollout_orders.empty()) {
    return std::nullopt;
  }
  for (const RolloutState& state : m_rollouts.States()) {
    if (state.service == service) {
      return IsUndecided(state) ? std::optional(state.stage) : std::nullopt;
    }
  }
  const std::vector<RolloutOrder> orders = m_rollouts.Orders();
  return std::any_of(
             orders.begin(), orders.end(),
             [&](const auto& order) { return order.service == service; })
             ? std::optional(RolloutStage::kJudging)
             : std::nullopt;
}

void Gateway::LogRolloutStates() {
  if (m_rollouts.revision() == m_logged_rollouts_revision) {
    return;
  }
  m_logged_rollouts_revision = m_rollouts.revision();
  for (const RolloutState& state : m_rollouts.States()) {
    RolloutState& logged = m_logged_rollouts[state.service];
    if (logged == state) {
      continue;
    }
    logged = state;
    LogEvent(gateway_log::kRolloutState,
             {{"service", state.service.value()},
              {"target", state.target.value()},
              {"order", FormatStorePosition(state.position)},
              {"number", std::to_string(state.number)},
              {"stage", std::string(StageName(state.stage))},
              {"share", fmt::format("{:.4f}", state.share)},
              {"workers_share", fmt::format("{:.4f}", state.endpoint_share)}});
  }
}

}  // namespace pistachiowalk
