#include "serving/worker_limits.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr uint64_t kWorker = 77;

TimePoint At(double second) {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(second + 1000.0)));
}

NamedRateLimit MakeLimit(double requests_per_second) {
  return NamedRateLimit{.state = NamedRateLimit::State::kNamed,
                        .requests_per_second = requests_per_second};
}

NodeId MakeNode(size_t node) {
  return NodeId("node-" + std::to_string(node));
}

// One limited worker, to which each node sends whatever it may.
struct LimitPlan {
  size_t nodes = 8;
  double limit = 1.0;
  // The limit differs by up to this part from response to response.
  double jitter = 0.0;
  // Requests a second that a node sends before it knows of the limit.
  double unlimited_rate = 2.0;
  // Share of messages between nodes that is lost, and their longest delay.
  double loss = 0.1;
  double lag = 0.6;
  // These nodes end at 10 s; the others notice within two seconds.
  size_t killed = 0;
  uint32_t seed = 1;
};

struct LimitOutcome {
  // Most requests in any four seconds from contact time on.
  size_t most_in_window = 0;
  double mean_per_second = 0.0;
};

class LimitSimulation {
 public:
  explicit LimitSimulation(const LimitPlan& plan)
      : m_plan(plan),
        m_random(plan.seed),
        m_nodes(plan.nodes),
        m_told(plan.nodes, 0),
        m_notices_at(plan.nodes) {
    for (double& second : m_notices_at) {
      second = kKilledAt + 1.0 + Uniform();
    }
  }

  LimitOutcome Run() {
    constexpr double kStep = 0.02;
    constexpr double kContactSeconds = 4.0;
    constexpr double kWindowSeconds = 4.0;
    constexpr double kEnd = 30.0;
    size_t steps = 0;
    for (double second = 0.0; second < kEnd; second += kStep, ++steps) {
      Deliver(second);
      for (size_t node = 0; node < m_nodes.size(); ++node) {
        if (!IsAlive(node, second)) {
          continue;
        }
        if (steps % 5 == node % 5) {
          StepNode(node, second);
        }
        const bool wants = m_nodes[node].IsLimited(kWorker) ||
                           Uniform() < m_plan.unlimited_rate * kStep;
        if (wants && m_nodes[node].CanSend(kWorker, At(second))) {
          Send(node, second);
        }
      }
    }
    LimitOutcome outcome;
    std::vector<double> counted;
    for (const double second : m_sent_at) {
      if (second >= kContactSeconds) {
        counted.push_back(second);
      }
    }
    for (size_t first = 0; first < counted.size(); ++first) {
      const auto end = std::lower_bound(counted.begin(), counted.end(),
                                        counted[first] + kWindowSeconds);
      outcome.most_in_window =
          std::max(outcome.most_in_window,
                   static_cast<size_t>(end - counted.begin()) - first);
    }
    outcome.mean_per_second =
        static_cast<double>(counted.size()) / (kEnd - kContactSeconds);
    return outcome;
  }

 private:
  struct Event {
    double due = 0.0;
    size_t node = 0;
    // A response that names this limit, unless reports are set.
    double limit = 0.0;
    std::vector<WorkerLimitReport> reports;
    double sent_at = 0.0;
  };

  static constexpr double kKilledAt = 10.0;

  double Uniform() {
    return std::uniform_real_distribution<double>()(m_random);
  }
  bool IsAlive(size_t node, double second) const {
    return node >= m_plan.killed || second < kKilledAt;
  }

  void Send(size_t node, double second) {
    m_sent_at.push_back(second);
    m_nodes[node].RecordSend(kWorker, At(second));
    const double limit =
        m_plan.limit * (1.0 + m_plan.jitter * (2.0 * Uniform() - 1.0));
    m_events.push_back(
        Event{.due = second + 0.1 + Uniform(), .node = node, .limit = limit});
  }

  void StepNode(size_t node, double second) {
    std::vector<NodeId> known;
    for (size_t other = 0; other < m_nodes.size(); ++other) {
      if (other >= m_plan.killed || second < m_notices_at[node]) {
        known.push_back(MakeNode(other));
      }
    }
    WorkerLimits& limits = m_nodes[node];
    limits.Step(
        [&](uint64_t worker, double limit) {
          return ChooseLimitSender(worker, limit, MakeNode(node), known);
        },
        At(second));
    const uint64_t revision = limits.own_revision();
    const bool is_urgent = revision != std::exchange(m_told[node], revision);
    if (!is_urgent && Uniform() >= 0.1) {
      return;
    }
    const auto reports = limits.OwnReports(At(second - 5.0), At(second));
    for (size_t other = 0; other < m_nodes.size() && !reports.empty();
         ++other) {
      if (other != node && Uniform() >= m_plan.loss) {
        m_events.push_back(Event{.due = second + m_plan.lag * Uniform(),
                                 .node = other,
                                 .reports = reports,
                                 .sent_at = second});
      }
    }
  }

  void Deliver(double second) {
    for (size_t i = 0; i < m_events.size();) {
      if (m_events[i].due > second) {
        ++i;
        continue;
      }
      const Event event = std::move(m_events[i]);
      m_events[i] = std::move(m_events.back());
      m_events.pop_back();
      if (event.reports.empty()) {
        m_nodes[event.node].Observe(kWorker, MakeLimit(event.limit),
                                    At(second));
      } else {
        m_nodes[event.node].Merge(event.reports, At(event.sent_at), At(second));
      }
    }
  }

  LimitPlan m_plan;
  std::mt19937_64 m_random;
  std::vector<WorkerLimits> m_nodes;
  std::vector<uint64_t> m_told;
  // When each node notices that others have ended.
  std::vector<double> m_notices_at;
  std::vector<Event> m_events;
  std::vector<double> m_sent_at;
};

// Fails if any four seconds have more than one and a half times what the limit
// allows and five requests, or if much of the limit is left unused.
void CheckLimit(const LimitPlan& plan) {
  for (uint32_t seed = 1; seed <= 3; ++seed) {
    LimitPlan seeded = plan;
    seeded.seed = seed;
    const LimitOutcome outcome = LimitSimulation(seeded).Run();
    const double allowed = 1.5 * 4.0 * plan.limit + 5.0;
    cr_assert(static_cast<double>(outcome.most_in_window) <= allowed,
              "limit %g, %zu nodes, seed %u: %zu requests in 4 s", plan.limit,
              plan.nodes, seed, outcome.most_in_window);
    cr_assert(outcome.mean_per_second >= 0.7 * plan.limit,
              "limit %g, %zu nodes, seed %u: %g requests a second", plan.limit,
              plan.nodes, seed, outcome.mean_per_second);
  }
}

// The share of a node that is alone.
LimitSender Alone(uint64_t /*worker*/, double /*requests_per_second*/) {
  return LimitSender{.may_send = true, .senders = 1};
}

}  // namespace

// Guards against a limit that each node keeps, but all together exceed.
Test(worker_limits, all_nodes_together_keep_to_a_limit) {
  for (const double limit : {0.0, 0.3, 1.0, 2.7, 10.0, 100.0}) {
    CheckLimit(LimitPlan{.limit = limit});
    CheckLimit(LimitPlan{.nodes = 91, .limit = limit});
  }
}

Test(worker_limits, hundreds_of_nodes_together_keep_to_a_limit) {
  for (const double limit : {1.0, 2.7}) {
    CheckLimit(LimitPlan{.nodes = 295, .limit = limit, .unlimited_rate = 0.2});
  }
}

// Guards against a limit that nobody uses, or too many, after nodes have ended.
Test(worker_limits, a_limit_moves_to_other_nodes_when_some_end) {
  CheckLimit(LimitPlan{.limit = 2.0, .killed = 3});
  CheckLimit(LimitPlan{.nodes = 91, .limit = 1.0, .killed = 45});
}

Test(worker_limits, a_limit_that_changes_with_each_response_is_kept) {
  CheckLimit(LimitPlan{.limit = 2.7, .jitter = 0.3});
  CheckLimit(LimitPlan{.nodes = 91, .limit = 1.0, .jitter = 0.3});
}

// Guards against a limit that outlives what the worker says.
Test(worker_limits, a_limit_ends_when_a_response_no_longer_names_it) {
  WorkerLimits node;
  cr_assert(node.Observe(kWorker, MakeLimit(1.0), At(0.0)));
  cr_assert(!node.CanSend(kWorker, At(0.0)));
  cr_assert(node.Observe(kWorker, NamedRateLimit{}, At(1.0)));
  cr_assert(node.CanSend(kWorker, At(1.0)));
  cr_assert(!node.IsLimited(kWorker));
}

// Guards against a malformed limit that lifts the one before.
Test(worker_limits, an_unreadable_limit_changes_nothing) {
  WorkerLimits node;
  const NamedRateLimit unreadable{.state = NamedRateLimit::State::kUnreadable};
  node.Observe(kWorker, unreadable, At(0.0));
  cr_assert(!node.IsLimited(kWorker));
  node.Observe(kWorker, MakeLimit(1.0), At(1.0));
  node.Observe(kWorker, unreadable, At(2.0));
  cr_assert(node.LimitOf(kWorker) == 1.0);
}

// Guards against a worker that gets nothing and so never says that it is well.
Test(worker_limits, a_worker_that_names_zero_is_asked_from_time_to_time) {
  WorkerLimits node;
  node.Observe(kWorker, MakeLimit(0.0), At(0.0));
  int sent = 0;
  for (double second = 0.0; second < 60.0; second += 0.1) {
    node.Step(Alone, At(second));
    if (node.CanSend(kWorker, At(second))) {
      node.RecordSend(kWorker, At(second));
      ++sent;
    }
  }
  cr_assert(sent >= 10 && sent <= 16);
}

// Guards against an old message that restores a limit which has ended.
Test(worker_limits, the_most_recent_response_counts) {
  WorkerLimits a;
  WorkerLimits b;
  a.Observe(kWorker, MakeLimit(1.0), At(0.0));
  const auto early = a.Reports(At(0.0));
  cr_assert(b.Merge(early, At(0.0), At(0.1)) == std::vector{kWorker});
  cr_assert(b.Merge(early, At(0.0), At(0.2)).empty());
  cr_assert(b.LimitOf(kWorker) == 1.0);
  b.Observe(kWorker, NamedRateLimit{}, At(1.0));
  b.Merge(early, At(0.0), At(2.0));
  cr_assert(!b.IsLimited(kWorker));
  a.Merge(b.Reports(At(3.0)), At(3.0), At(3.1));
  cr_assert(!a.IsLimited(kWorker));
  cr_assert(b.OwnReports(At(0.5), At(3.0)).size() == 1);
  cr_assert(a.OwnReports(At(-1.0), At(3.1)).empty());
}

// Guards against numbers in messages that no worker names.
Test(worker_limits, malformed_reports_are_ignored) {
  WorkerLimits node;
  for (const float limit : {-1.0F, std::nanf(""), INFINITY}) {
    node.Merge({WorkerLimitReport{.worker = kWorker,
                                  .is_limited = true,
                                  .requests_per_second = limit}},
               At(0.0), At(0.0));
  }
  cr_assert(node.limited_count() == 0);
}

Test(worker_limits, the_time_until_a_node_may_send_is_told) {
  WorkerLimits node;
  node.Observe(kWorker, MakeLimit(2.0), At(0.0));
  cr_assert(!node.TimeUntilSend(kWorker, At(0.0)));
  node.Step(Alone, At(0.0));
  const auto until = node.TimeUntilSend(kWorker, At(0.0));
  cr_assert(until && *until > std::chrono::milliseconds(200) &&
            *until < std::chrono::milliseconds(300));
  cr_assert(node.CanSend(kWorker, At(0.3)));
}
