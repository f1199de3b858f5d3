#include "utilities/measure_request/request_simulation.h"

#include <algorithm>
#include <utility>

namespace pistachiowalk::measure {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMinimumNodes = 2;
constexpr size_t kMaximumNodes = 5;
constexpr CallerAttempt kMaximumAttempts = 4;
constexpr TokenIndex kMaximumTokens = 12;
// A task, its repetitions and late effects end within this time.
constexpr Duration kTaskDuration = seconds(50);
// Callers repeat a key while it is retained, less the time for which a
// repetition may be in transit and wait for its claim.
constexpr Duration kRepeatTime = kTaskDuration - seconds(10);
constexpr Duration kLongArrivalWindow = seconds(200);
constexpr size_t kMaximumLongTasks = 60;
constexpr double kLongHistoryShare = 0.1;
constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kSlowestHop = milliseconds(40);
constexpr Duration kLongestFault = seconds(5);
constexpr Duration kMaximumRetryDelay = seconds(2);
constexpr double kRepeatShare = 0.7;
constexpr double kEarlyRepeatShare = 0.4;
// Share of the requests that are delayed on the way to the entry node.
constexpr double kLateRequestShare = 0.1;
constexpr Duration kLatestRequest = seconds(5);
constexpr double kOtherBodyShare = 0.1;
constexpr double kGenerationShare = 0.35;

}  // namespace

RequestSimulation::RequestSimulation(SimulationOptions options)
    : m_options(options), m_random(options.seed) {
  const double fault_shares[] = {0, 0.05, 0.2, 0.4};
  m_endpoint_fault_share = fault_shares[DrawIndex(4)];
  const double refused_shares[] = {0, 0.05, 0.5};
  m_route_refused_share = refused_shares[DrawIndex(3)];
  SimulatedStoreOptions store{.fault_share = fault_shares[DrawIndex(4)],
                              .slowest_call = milliseconds(1 + DrawIndex(400)),
                              .fault = options.fault};
  m_store = std::make_unique<SimulatedStore>(
      store, m_random, [this](Duration delay, std::function<void()> function) {
        Schedule(delay, std::move(function));
      });
  m_range_options.prefix = "claims/0";
  m_range_options.segment_bytes = 200 + DrawIndex(2000);
  m_range_options.slots = 2 + DrawIndex(60);
  m_range_options.commit_interval = milliseconds(DrawIndex(100));
  m_range_options.retention =
      std::chrono::duration_cast<milliseconds>(kTaskDuration);
  if (DrawChance(kLongHistoryShare)) {
    m_arrival_window = kLongArrivalWindow;
    m_maximum_tasks = kMaximumLongTasks;
  }
  m_nodes.resize(kMinimumNodes + DrawIndex(kMaximumNodes - kMinimumNodes + 1));
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    StartNode(i);
  }
}

void RequestSimulation::Schedule(Duration delay,
                                 std::function<void()> function) {
  m_events.emplace(m_now + delay, std::move(function));
}

void RequestSimulation::At(size_t node,
                           Duration delay,
                           std::function<void()> function) {
  Schedule(delay, [this, node, incarnation = m_nodes[node].incarnation,
                   function = std::move(function)] {
    const Node& target = m_nodes[node];
    if (target.incarnation != incarnation) {
      return;
    }
    if (target.paused_until > m_now) {
      At(node, target.paused_until - m_now, function);
      return;
    }
    function();
  });
}

ClaimTime RequestSimulation::Time() const {
  constexpr int64_t kWallStart = 1'000'000'000;
  return {.now = m_now,
          .wall_ms = kWallStart + m_now.time_since_epoch() / milliseconds(1)};
}

Duration RequestSimulation::DrawDelay(Duration longest) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, longest.count())(m_random));
}

bool RequestSimulation::DrawChance(double share) {
  return std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

size_t RequestSimulation::DrawIndex(size_t count) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(m_random);
}

SimulationFindings RequestSimulation::Run() {
  const size_t tasks = 1 + DrawIndex(m_maximum_tasks);
  for (size_t i = 0; i < tasks; ++i) {
    PlanTask();
  }
  PlanFaults();
  while (!m_events.empty()) {
    auto event = m_events.extract(m_events.begin());
    m_now = event.key();
    ++m_steps;
    event.mapped()();
  }
  SimulationFindings findings{.steps = m_steps};
  m_oracle.Evaluate(findings);
  return findings;
}

void RequestSimulation::PlanTask() {
  CallerTask task{.key = "k" + std::to_string(m_tasks.size())};
  if (DrawChance(kGenerationShare)) {
    task.kind = RequestKind::kGeneration;
    task.token_count = 1 + DrawIndex(kMaximumTokens);
  }
  m_tasks.push_back(task);
  Schedule(DrawDelay(m_arrival_window),
           [this, index = m_tasks.size() - 1] { SendTask(index); });
}

void RequestSimulation::PlanFaults() {
  for (size_t i = DrawIndex(6); i > 0; --i) {
    const size_t node = DrawIndex(m_nodes.size());
    const Duration length = DrawDelay(kLongestFault);
    const size_t kind = DrawIndex(5);
    Schedule(DrawDelay(m_arrival_window), [this, node, length, kind] {
      if (kind == 0) {
        CrashNode(node);
      } else if (kind == 1) {
        m_nodes[node].paused_until = m_now + length;
      } else if (kind == 2) {
        m_nodes[node].cut_until = m_now + length;
      } else if (kind == 3) {
        m_store_down_until = m_now + length;
      } else {
        const std::vector<std::pair<RequestId, size_t>> all(
            m_task_by_request.begin(), m_task_by_request.end());
        for (const auto& [id, task] : all) {
          for (size_t n = 0; n < m_nodes.size(); ++n) {
            Apply(n, id, EndpointLeaving{.endpoint = EndpointId("e1")});
          }
        }
      }
    });
  }
}

void RequestSimulation::CrashNode(size_t node) {
  std::vector<size_t> tasks;
  for (const auto& [id, state] : m_nodes[node].requests) {
    if (state.phase != RequestPhase::kEnded) {
      m_oracle.RecordBroken(id);
      tasks.push_back(m_task_by_request.at(id));
    }
  }
  StartNode(node);
  for (const size_t task : tasks) {
    MaybeRepeat(task);
  }
}

void RequestSimulation::StartNode(size_t node) {
  const uint32_t incarnation = m_nodes[node].incarnation + 1;
  m_nodes[node] = Node{};
  m_nodes[node].incarnation = incarnation;
  m_nodes[node].id = NodeId("n" + std::to_string(node));
  m_nodes[node].claims =
      std::make_unique<ClaimRange>(m_range_options, m_nodes[node].id);
}

void RequestSimulation::SendTask(size_t index) {
  CallerTask& task = m_tasks[index];
  const size_t node = DrawIndex(m_nodes.size());
  RequestSpec spec;
  spec.id = RequestId("r" + std::to_string(++m_last_request));
  spec.kind = task.kind;
  if (task.attempts == 0) {
    task.first_sent_at = m_now;
  }
  spec.caller_attempt = ++task.attempts;
  spec.idempotency_key = task.key;
  spec.body_digest = DrawChance(kOtherBodyShare) ? "other" : "body";
  const Duration allowed = seconds(2) + DrawDelay(seconds(3));
  m_task_by_request[spec.id] = index;
  m_specs[spec.id] = spec;
  const Duration send_delay = DrawChance(kLateRequestShare)
                                  ? DrawDelay(kLatestRequest)
                                  : DrawDelay(kSlowestHop);
  At(node, send_delay,
     [this, node, spec, allowed, count = task.token_count]() mutable {
       spec.deadline = m_now + allowed;
       m_oracle.RecordAccepted(spec, count);
       RequestState& state = m_nodes[node].requests[spec.id];
       state.spec = spec;
       At(node, allowed,
          [this, node, spec] { Apply(node, spec.id, DeadlinePassed{}); });
       Perform(node, spec.id, AcceptRequest(state));
     });
  // An impatient caller does not wait for its answer.
  if (task.kind == RequestKind::kAction && DrawChance(kEarlyRepeatShare)) {
    Schedule(DrawDelay(kMaximumRetryDelay),
             [this, index] { MaybeRepeat(index); });
  }
}

void RequestSimulation::MaybeRepeat(size_t task) {
  if (m_now - m_tasks[task].first_sent_at > kRepeatTime) {
    return;
  }
  if (m_tasks[task].kind == RequestKind::kAction &&
      m_tasks[task].attempts < kMaximumAttempts && DrawChance(kRepeatShare)) {
    Schedule(DrawDelay(kMaximumRetryDelay), [this, task] { SendTask(task); });
  }
}

void RequestSimulation::Apply(size_t node,
                              const RequestId& id,
                              const RequestEvent& event) {
  const auto it = m_nodes[node].requests.find(id);
  if (it == m_nodes[node].requests.end()) {
    return;
  }
  RequestEvent applied = event;
  if (m_options.fault == InjectedFault::kRetryAfterDispatch) {
    if (auto* failed = std::get_if<AttemptFailed>(&applied)) {
      failed->dispatch = DispatchCertainty::kNotDispatched;
    }
  }
  if (m_options.fault == InjectedFault::kInsertStaleToken) {
    if (auto* token = std::get_if<TokenArrived>(&applied)) {
      token->attempt = it->second.attempts;
    }
  }
  Perform(node, id, ApplyRequestEvent(it->second, applied, m_now));
}

void RequestSimulation::Perform(size_t node,
                                const RequestId& id,
                                const RequestCommands& commands) {
  for (const RequestCommand& command : commands) {
    PerformOne(node, id, command);
  }
}

void RequestSimulation::PerformOne(size_t node,
                                   const RequestId& id,
                                   const RequestCommand& command) {
  const RequestSpec& spec = m_specs.at(id);
  ClaimEntry entry{.key = spec.idempotency_key,
                   .request = id,
                   .digest = spec.body_digest,
                   .attempt = ClaimAttempt(spec)};
  if (std::holds_alternative<FindEndpoint>(command)) {
    FindRoute(node, id);
  } else if (const auto* start =
                 std::get_if<pistachiowalk::StartAttempt>(&command)) {
    StartAttempt(node, spec, *start);
  } else if (std::holds_alternative<ClaimAction>(command)) {
    Claim(node, spec);
  } else if (const auto* outcome = std::get_if<RecordOutcome>(&command)) {
    entry.kind = ClaimEntryKind::kOutcome;
    entry.reply = outcome->reply;
    PerformClaims(node, m_nodes[node].claims->RecordOutcome(entry, Time()));
  } else if (std::holds_alternative<ReleaseClaim>(command)) {
    entry.kind = ClaimEntryKind::kRelease;
    PerformClaims(node, m_nodes[node].claims->Release(entry, Time()));
  } else {
    ReportToCaller(spec, command);
  }
}

void RequestSimulation::ReportToCaller(const RequestSpec& spec,
                                       RequestCommand command) {
  auto* problem = std::get_if<SendProblem>(&command);
  const bool is_token = std::holds_alternative<SendToken>(command);
  const bool is_end = std::holds_alternative<SendEnd>(command) ||
                      std::holds_alternative<SendReply>(command);
  if (m_options.fault == InjectedFault::kLoseAnswer && is_end) {
    return;
  }
  if (m_options.fault == InjectedFault::kReportUnknownAsNotRun &&
      problem != nullptr) {
    problem->problem.outcome = RunOutcome::kNotRun;
  }
  if (m_options.fault == InjectedFault::kRepeatToken && is_token) {
    m_oracle.RecordReported(spec, command);
  }
  if (m_options.fault == InjectedFault::kSwapTokens && is_token &&
      !m_held_token) {
    m_held_token = command;
    return;
  }
  m_oracle.RecordReported(spec, command);
  if (m_held_token && is_token) {
    m_oracle.RecordReported(spec, *std::exchange(m_held_token, std::nullopt));
  }
  if (is_end || problem != nullptr) {
    MaybeRepeat(m_task_by_request.at(spec.id));
  }
}

CallerAttempt RequestSimulation::ClaimAttempt(const RequestSpec& spec) const {
  return m_options.fault == InjectedFault::kForgetAttempts
             ? 1
             : spec.caller_attempt;
}

void RequestSimulation::Claim(size_t node, const RequestSpec& spec) {
  if (m_options.fault == InjectedFault::kGrantWithoutClaim) {
    Apply(node, spec.id,
          ClaimDecided{.verdict = ClaimVerdict::kGranted, .reply = {}});
    return;
  }
  const ClaimEntry claim{.kind = ClaimEntryKind::kClaim,
                         .key = spec.idempotency_key,
                         .request = spec.id,
                         .digest = spec.body_digest,
                         .attempt = ClaimAttempt(spec),
                         .reply = {}};
  PerformClaims(node, m_nodes[node].claims->Claim(claim, Time()));
}

StoreAvailability RequestSimulation::AvailabilityFor(size_t node) const {
  const bool is_down =
      m_store_down_until > m_now || m_nodes[node].cut_until > m_now;
  return is_down ? StoreAvailability::kDown : StoreAvailability::kUp;
}

void RequestSimulation::PerformClaims(size_t node,
                                      const ClaimCommands& commands) {
  for (const ClaimCommand& command : commands) {
    const auto on_result = [this, node,
                            incarnation = m_nodes[node].incarnation](
                               StoreCallNumber call) {
      return [this, node, incarnation, call](const StoreResult& result) {
        if (m_nodes[node].incarnation != incarnation) {
          return;
        }
        At(node, Duration::zero(), [this, node, call, result] {
          PerformClaims(
              node, m_nodes[node].claims->OnStoreResult(call, result, Time()));
        });
      };
    };
    if (const auto* read = std::get_if<ReadSegment>(&command)) {
      m_store->Get(read->key, AvailabilityFor(node), on_result(read->call));
    } else if (const auto* write = std::get_if<WriteSegment>(&command)) {
      m_store->CompareAndSwap(write->key, write->expected, write->value,
                              AvailabilityFor(node), on_result(write->call));
    } else {
      const auto& settled = std::get<SettleClaim>(command);
      At(node, Duration::zero(), [this, node, settled] {
        Apply(node, settled.request, settled.decided);
      });
    }
  }
  PlanTick(node);
}

void RequestSimulation::PlanTick(size_t node) {
  Node& target = m_nodes[node];
  const bool is_over =
      m_now.time_since_epoch() > m_arrival_window + kTaskDuration;
  if (target.is_tick_planned || target.claims->IsIdle() || is_over) {
    return;
  }
  target.is_tick_planned = true;
  At(node, kTickInterval, [this, node] {
    m_nodes[node].is_tick_planned = false;
    PerformClaims(node, m_nodes[node].claims->Tick(Time()));
  });
}

void RequestSimulation::FindRoute(size_t node, const RequestId& id) {
  const bool is_refused = DrawChance(m_route_refused_share);
  const EndpointId endpoint("e" + std::to_string(1 + DrawIndex(3)));
  At(node, DrawDelay(milliseconds(3)), [this, node, id, is_refused, endpoint] {
    if (is_refused) {
      Apply(node, id,
            RouteRefused{Problem{.kind = ProblemKind::kNoEndpoint,
                                 .outcome = RunOutcome::kNotRun,
                                 .detail = "",
                                 .retry_after = {}}});
    } else {
      Apply(node, id, EndpointOffered{.endpoint = endpoint});
    }
  });
}

void RequestSimulation::StartAttempt(
    size_t node,
    const RequestSpec& spec,
    const pistachiowalk::StartAttempt& command) {
  if (spec.kind == RequestKind::kAction) {
    RunAction(node, spec, command.attempt);
  } else {
    Generate(node, spec, command);
  }
}

}  // namespace pistachiowalk::measure
