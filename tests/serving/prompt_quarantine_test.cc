#include "serving/prompt_quarantine.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "support/criterion.h"

using namespace pistachiowalk;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Parts = std::vector<PromptPartId>;

constexpr PromptPartId kFirstPart{0xa1};
constexpr PromptPartId kSubject{0xb2};
constexpr PromptPartId kDeadlyPart{0xdead};

TimePoint At(double second) {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(second + 1000.0)));
}

// A quarantine on a node that has run for a while.
PromptQuarantine MakeOldNode() {
  return PromptQuarantine(At(-60.0));
}

// What nodes send in one play of SimulateDay().
struct DayPlan {
  size_t nodes = 8;
  // Requests of the class a second, and the share of them that is deadly.
  double requests_per_second = 33.0;
  double deadly_share = 0.05;
  double seconds_of_deadly = 22.0;
  // Deadly requests have these parts besides the first one of their class.
  std::vector<PromptPartId> deadly_parts = {kDeadlyPart};
  // The deadly parts stood in sound requests before.
  bool is_used_before = false;
  // Share of the messages between nodes that is lost.
  double loss = 0.1;
  // Delay of a message between two nodes, in seconds, and their interval.
  double lag = 0.6;
  double interval = 1.0;
  // Errors of the nodes' clocks against each other, in seconds.
  double clock_error = 0.05;
  // All nodes are killed at this second and restore what the store has.
  double killed_at = -1.0;
  // All workers of one data centre end at this second.
  double reclaimed_at = -1.0;
  uint32_t seed = 1;
};

struct DayOutcome {
  size_t crashes = 0;
  double fifth_crash_at = -1.0;
  // Deadly requests sent later than the bound after the fifth crash.
  size_t deadly_sent_late = 0;
  size_t sound_asked_late = 0;
  size_t sound_refused_late = 0;
  size_t quarantined = 0;
};

constexpr double kContactSeconds = 4.0;
constexpr double kBeforeDeadly = 20.0;
constexpr double kFirstEventSeconds = 0.2;

class DaySimulation {
 public:
  explicit DaySimulation(const DayPlan& plan)
      : m_plan(plan), m_random(plan.seed) {
    Start(At(-60.0), QuarantineState{});
  }

  DayOutcome Run() {
    constexpr double kStep = 0.01;
    const double end = kBeforeDeadly + m_plan.seconds_of_deadly + 5.0;
    for (double second = 0.0; second < end; second += kStep) {
      if (m_plan.killed_at >= 0.0 &&
          std::abs(second - m_plan.killed_at) < kStep / 2) {
        const QuarantineState stored = m_nodes[0].State(At(second));
        m_events.clear();
        Start(At(second), stored);
      }
      if (m_plan.reclaimed_at >= 0.0 &&
          std::abs(second - m_plan.reclaimed_at) < kStep / 2) {
        Reclaim(second);
      }
      const double expected = m_plan.requests_per_second * kStep;
      for (int i = std::poisson_distribution<int>(expected)(m_random); i > 0;
           --i) {
        SendRequest(second);
      }
      Deliver(second);
      Gossip(second, kStep);
    }
    for (const PromptQuarantine& node : m_nodes) {
      m_outcome.quarantined =
          std::max(m_outcome.quarantined, node.quarantined_count());
    }
    return m_outcome;
  }

 private:
  struct Event {
    double due = 0.0;
    size_t node = 0;
    // A response begins, a worker ends, or a state arrives.
    enum class Kind { kBegun, kCrash, kState } kind = Kind::kBegun;
    Parts parts;
    double sent_at = 0.0;
    QuarantineState state;
  };

  void Start(TimePoint now, const QuarantineState& stored) {
    m_nodes.assign(m_plan.nodes, PromptQuarantine(now));
    for (PromptQuarantine& node : m_nodes) {
      node.Merge(stored, now, now);
    }
    m_hub = std::make_unique<PromptQuarantine>(now);
    m_told.assign(m_plan.nodes + 1, 0);
    m_hub->Merge(stored, now, now);
  }

  double Uniform() {
    return std::uniform_real_distribution<double>()(m_random);
  }

  bool IsDeadlyTime(double second) const {
    return second >= kBeforeDeadly &&
           second < kBeforeDeadly + m_plan.seconds_of_deadly;
  }

  void SendRequest(double second) {
    const size_t node = m_random() % m_plan.nodes;
    const bool is_deadly =
        IsDeadlyTime(second) && Uniform() < m_plan.deadly_share;
    // Few requests share the second part.
    Parts parts = {kFirstPart, PromptPartId{1000 + m_random() % 335}};
    if (is_deadly) {
      parts = {kFirstPart, kSubject};
      parts.push_back(
          m_plan.deadly_parts[m_random() % m_plan.deadly_parts.size()]);
    } else if (m_plan.is_used_before && second < kBeforeDeadly &&
               Uniform() < 0.1) {
      parts.insert(parts.end(), m_plan.deadly_parts.begin(),
                   m_plan.deadly_parts.end());
    }
    const bool is_late = m_outcome.fifth_crash_at >= 0.0 &&
                         second > m_outcome.fifth_crash_at + kContactSeconds;
    const bool is_refused = m_nodes[node].IsQuarantined(parts);
    if (!is_deadly) {
      m_outcome.sound_asked_late += second > kBeforeDeadly ? 1 : 0;
      m_outcome.sound_refused_late +=
          second > kBeforeDeadly && is_refused ? 1 : 0;
    }
    if (is_refused) {
      return;
    }
    m_outcome.deadly_sent_late += is_deadly && is_late ? 1 : 0;
    m_events.push_back(
        Event{.due = second + kFirstEventSeconds * (0.5 + Uniform()),
              .node = node,
              .kind = is_deadly ? Event::Kind::kCrash : Event::Kind::kBegun,
              .parts = parts,
              .sent_at = second});
  }

  void Reclaim(double second) {
    for (size_t worker = 0; worker < 8; ++worker) {
      m_nodes[m_random() % m_plan.nodes].RecordCrash(
          m_random(), worker,
          {kFirstPart, PromptPartId{1000 + m_random() % 335}}, At(second));
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
      PromptQuarantine& node =
          event.node < m_nodes.size() ? m_nodes[event.node] : *m_hub;
      switch (event.kind) {
        case Event::Kind::kBegun:
          node.RecordBegun(event.parts, At(event.sent_at), At(second));
          break;
        case Event::Kind::kCrash:
          node.RecordCrash(m_random(), m_random() % 20, event.parts,
                           At(second));
          if (++m_outcome.crashes == 5) {
            m_outcome.fifth_crash_at = second;
          }
          break;
        case Event::Kind::kState:
          node.Merge(event.state,
                     At(event.sent_at + m_plan.clock_error * Uniform()),
                     At(second));
          break;
      }
    }
  }

  // Nodes tell each other through one that forwards, as data centres do: at
  // once when they learn something, and periodically.
  void Gossip(double second, double step) {
    for (size_t node = 0; node < m_nodes.size(); ++node) {
      m_nodes[node].Step(At(second));
      const uint64_t revision = m_nodes[node].own_revision();
      const bool is_urgent = revision != std::exchange(m_told[node], revision);
      if (is_urgent || Uniform() < step / m_plan.interval) {
        Tell(m_nodes[node], m_nodes.size(), second);
      }
    }
    const uint64_t revision = m_hub->revision();
    const bool is_urgent =
        revision != std::exchange(m_told[m_nodes.size()], revision);
    for (size_t node = 0; node < m_nodes.size(); ++node) {
      if (is_urgent || Uniform() < step / m_plan.interval) {
        Tell(*m_hub, node, second);
      }
    }
  }

  void Tell(const PromptQuarantine& from, size_t to, double second) {
    QuarantineState state = from.State(At(second));
    if (!state.is_empty() && Uniform() >= m_plan.loss) {
      m_events.push_back(Event{.due = second + m_plan.lag * Uniform(),
                               .node = to,
                               .kind = Event::Kind::kState,
                               .sent_at = second,
                               .state = std::move(state)});
    }
  }

  DayPlan m_plan;
  std::mt19937_64 m_random;
  std::vector<PromptQuarantine> m_nodes;
  std::unique_ptr<PromptQuarantine> m_hub;
  // The revision that each node, and last the hub, has sent.
  std::vector<uint64_t> m_told;
  std::vector<Event> m_events;
  DayOutcome m_outcome;
};

// Fails if more requests than allowed were sent after the fifth crash, or if
// sound requests were refused.
void CheckDay(const DayPlan& plan, const char* name) {
  for (uint32_t seed = 1; seed <= 5; ++seed) {
    DayPlan seeded = plan;
    seeded.seed = seed;
    const DayOutcome outcome = DaySimulation(seeded).Run();
    cr_assert(
        outcome.deadly_sent_late <= 3,
        "%s, seed %u: %zu deadly requests sent after the bound, %zu crashes",
        name, seed, outcome.deadly_sent_late, outcome.crashes);
    cr_assert(outcome.sound_refused_late * 100 <= outcome.sound_asked_late,
              "%s, seed %u: %zu of %zu sound requests refused", name, seed,
              outcome.sound_refused_late, outcome.sound_asked_late);
  }
}

}  // namespace

// Guards against a deadly part that goes on to crash workers at other nodes.
Test(prompt_quarantine, a_deadly_part_is_refused_on_all_nodes_in_time) {
  CheckDay(DayPlan{}, "8 nodes");
  CheckDay(DayPlan{.deadly_share = 0.3}, "8 nodes, share 0.3");
  CheckDay(DayPlan{.deadly_share = 0.01}, "8 nodes, share 0.01");
  CheckDay(DayPlan{.nodes = 91, .requests_per_second = 180.0}, "91 nodes");
}

Test(prompt_quarantine, a_deadly_part_is_refused_on_hundreds_of_nodes) {
  CheckDay(DayPlan{.nodes = 295,
                   .requests_per_second = 400.0,
                   .seconds_of_deadly = 10.0},
           "295 nodes");
}

// Guards against an earlier clearance that protects a part for good.
Test(prompt_quarantine, a_part_that_turns_deadly_later_is_refused) {
  CheckDay(DayPlan{.is_used_before = true}, "used before");
  CheckDay(
      DayPlan{
          .nodes = 91, .requests_per_second = 180.0, .is_used_before = true},
      "used before, 91 nodes");
}

// Guards against only one of two deadly parts being found.
Test(prompt_quarantine, two_deadly_parts_at_once_are_refused) {
  const DayPlan plan{.deadly_parts = {PromptPartId{0xd1}, PromptPartId{0xd2}}};
  const DayOutcome outcome = DaySimulation(plan).Run();
  cr_assert(outcome.quarantined >= 2);
  // Five crashes of each part are allowed.
  cr_assert(outcome.crashes <= 10);
}

// Guards against a kill of all nodes that loses what they had found out.
Test(prompt_quarantine, a_kill_of_all_nodes_does_not_release_a_part) {
  CheckDay(DayPlan{.killed_at = kBeforeDeadly + 12.0}, "killed");
}

// Guards against a popular part quarantined by a reclaim of many workers.
Test(prompt_quarantine, workers_that_end_together_quarantine_no_part) {
  const DayPlan plan{.deadly_share = 0.0, .reclaimed_at = kBeforeDeadly + 2.0};
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    DayPlan seeded = plan;
    seeded.seed = seed;
    cr_assert(DaySimulation(seeded).Run().quarantined == 0);
  }
}

// Guards against a part that one failing worker brings into quarantine.
Test(prompt_quarantine, two_crashes_of_one_worker_quarantine_no_part) {
  PromptQuarantine node = MakeOldNode();
  node.RecordCrash(1, 7, {kDeadlyPart}, At(0.0));
  node.RecordCrash(2, 7, {kDeadlyPart}, At(1.0));
  cr_assert(!node.IsQuarantined({kDeadlyPart}));
  node.RecordCrash(3, 8, {kDeadlyPart}, At(2.0));
  cr_assert(node.IsQuarantined({kDeadlyPart}));
}

// Guards against quarantines of popular parts by an engine that always crashes.
Test(prompt_quarantine,
     crashes_while_nothing_is_answered_quarantine_no_used_part) {
  PromptQuarantine node = MakeOldNode();
  node.RecordBegun({kFirstPart}, At(-1.0), At(-0.5));
  for (uint64_t crash = 0; crash < 6; ++crash) {
    const auto second = static_cast<double>(crash);
    // Different requests; the first part of each is its fingerprint.
    node.RecordCrash(crash, crash, {PromptPartId{100 + crash}, kFirstPart},
                     At(second));
    node.Step(At(second + 0.9));
  }
  node.Step(At(20.0));
  cr_assert(!node.IsQuarantined({kFirstPart}));
  // Other prompts are answered, so the part is the cause.
  node.RecordBegun({kSubject}, At(20.0), At(20.5));
  node.Step(At(21.0));
  cr_assert(node.IsQuarantined({kFirstPart}));
}

// Guards against refusing sound requests that share parts with deadly ones.
Test(prompt_quarantine,
     parts_that_cannot_be_told_apart_are_refused_only_together) {
  PromptQuarantine node = MakeOldNode();
  node.RecordCrash(1, 7, {kFirstPart, kSubject, kDeadlyPart}, At(0.0));
  node.RecordBegun({kFirstPart}, At(0.1), At(0.3));
  node.RecordCrash(2, 8, {kFirstPart, kSubject, kDeadlyPart}, At(1.0));
  cr_assert(node.IsQuarantined({kFirstPart, kSubject, kDeadlyPart}));
  cr_assert(!node.IsQuarantined({kFirstPart, kSubject}));
  cr_assert(!node.IsQuarantined({kFirstPart, kDeadlyPart}));
  // A crash with one of them alone narrows it down.
  node.RecordCrash(3, 9, {kFirstPart, kDeadlyPart}, At(2.0));
  cr_assert(node.IsQuarantined({kDeadlyPart}));
  cr_assert(!node.IsQuarantined({kFirstPart, kSubject}));
}

// Guards against a response that was on its way clearing a deadly part.
Test(prompt_quarantine, a_response_sent_before_the_crash_refutes_nothing) {
  PromptQuarantine node = MakeOldNode();
  node.RecordCrash(1, 7, {kDeadlyPart}, At(1.0));
  node.RecordBegun({PromptPartId{5}}, At(0.5), At(1.1));
  node.RecordCrash(2, 8, {kDeadlyPart, PromptPartId{5}}, At(2.0));
  cr_assert(node.IsQuarantined({kDeadlyPart}));
}

// Guards against a quarantine that never ends or that each node tries alone.
Test(prompt_quarantine, a_quarantine_ends_when_a_probe_is_answered) {
  PromptQuarantine node = MakeOldNode();
  PromptQuarantine other = MakeOldNode();
  node.RecordCrash(1, 7, {kDeadlyPart}, At(0.0));
  node.RecordCrash(2, 8, {kDeadlyPart}, At(1.0));
  other.Merge(node.State(At(1.0)), At(1.0), At(1.0));
  cr_assert(other.IsQuarantined({kDeadlyPart}));
  cr_assert(!node.TryProbe({kDeadlyPart}, At(30.0)));
  cr_assert(node.TryProbe({kDeadlyPart}, At(62.0)));
  cr_assert(!node.TryProbe({kDeadlyPart}, At(100.0)));
  other.Merge(node.State(At(62.0)), At(62.1), At(62.1));
  cr_assert(!other.TryProbe({kDeadlyPart}, At(100.0)));
  cr_assert(other.TryProbe({kDeadlyPart}, At(182.0)));
  other.RecordBegun({kDeadlyPart}, At(182.0), At(182.2));
  cr_assert(!other.IsQuarantined({kDeadlyPart}));
  node.Merge(other.State(At(182.2)), At(182.3), At(182.3));
  cr_assert(!node.IsQuarantined({kDeadlyPart}));
  // A node that was cut off does not restore it.
  QuarantineState old;
  old.prompts = {QuarantinedPrompt{.parts = {kDeadlyPart}, .version = 1}};
  node.Merge(old, At(183.0), At(183.0));
  cr_assert(!node.IsQuarantined({kDeadlyPart}));
  // New crashes do.
  node.RecordCrash(3, 9, {kDeadlyPart}, At(190.0));
  node.RecordCrash(4, 10, {kDeadlyPart}, At(191.0));
  cr_assert(node.IsQuarantined({kDeadlyPart}));
}

// Guards against a popular part that a node without traffic takes for new.
Test(prompt_quarantine, a_node_hears_which_parts_were_sound_elsewhere) {
  PromptQuarantine reporter = MakeOldNode();
  PromptQuarantine busy = MakeOldNode();
  PromptQuarantine idle = MakeOldNode();
  busy.RecordBegun({kFirstPart}, At(-1.0), At(-0.5));
  reporter.RecordCrash(1, 7, {kFirstPart}, At(0.0));
  reporter.RecordCrash(2, 8, {kFirstPart}, At(0.1));
  busy.Merge(reporter.State(At(0.1)), At(0.1), At(0.1));
  idle.Merge(busy.State(At(0.2)), At(0.2), At(0.2));
  idle.RecordCrash(3, 9, {kFirstPart}, At(1.0));
  cr_assert(!idle.IsQuarantined({kFirstPart}));
}

// Guards against memory that a hostile caller can use up.
Test(prompt_quarantine, a_million_parts_take_bounded_memory) {
  constexpr uint64_t kParts = 1'000'000;
  PromptQuarantine node = MakeOldNode();
  for (uint64_t i = 0; i < kParts; ++i) {
    const double second = static_cast<double>(i) * 0.001;
    node.RecordBegun({PromptPartId{i}}, At(second), At(second));
    if (i % 100 == 0) {
      node.RecordCrash(i, i, {PromptPartId{i}}, At(second));
    }
  }
  const QuarantineState state = node.State(At(1000.0));
  cr_assert(state.reports.size() <= kMaximumCrashReports);
  cr_assert(state.prompts.size() <= kMaximumQuarantinedPrompts);
  SoundParts sound(At(0.0));
  for (uint64_t i = 0; i < kParts; ++i) {
    sound.Add({PromptPartId{i}}, At(0.0));
  }
  cr_assert(sound.size() <= 10'000);
}

// Guards against nodes that draw different conclusions from the same reports.
Test(prompt_quarantine, the_order_of_messages_does_not_matter) {
  PromptQuarantine a = MakeOldNode();
  a.RecordCrash(1, 7, {kFirstPart, kDeadlyPart}, At(0.0));
  const QuarantineState first = a.State(At(0.0));
  a.RecordBegun({kFirstPart}, At(0.5), At(0.7));
  a.RecordCrash(2, 8, {kFirstPart, kDeadlyPart}, At(2.0));
  const QuarantineState second = a.State(At(2.0));
  PromptQuarantine b = MakeOldNode();
  b.Merge(second, At(2.0), At(2.0));
  b.Merge(first, At(2.1), At(2.1));
  b.Merge(second, At(2.2), At(2.2));
  PromptQuarantine c = MakeOldNode();
  c.Merge(first, At(0.0), At(0.0));
  c.Merge(second, At(2.0), At(2.0));
  cr_assert(b.State(At(3.0)).prompts == c.State(At(3.0)).prompts);
  cr_assert(b.IsQuarantined({kDeadlyPart}) && !b.IsQuarantined({kFirstPart}));
}

namespace {

constexpr PromptPartId kDeadlyRequest{0xd1};
constexpr PromptPartId kSoundRequest{0x50};

// `requests` were open at `worker` when it ended.
void EndWorker(PromptQuarantine& node,
               uint64_t worker,
               const Parts& requests,
               double second) {
  for (const PromptPartId request : requests) {
    node.RecordCrash((worker << 40U) ^
                         static_cast<uint64_t>(second * 1000.0) << 20U ^
                         static_cast<uint64_t>(request),
                     worker, {request}, At(second));
  }
}

// Callers' single requests at a service of a few workers, each repeated once
// after a failure, seen by one node. Crash rates are a second.
struct ServicePlay {
  size_t workers = 3;
  double requests_per_second = 40.0;
  double work_seconds = 0.1;
  double deadly_interval = 1.3;
  // Workers that end by themselves, at intervals.
  double reclaim_interval = 0.0;
  size_t reclaimed = 1;
  uint32_t seed = 1;
};

struct ServiceOutcome {
  size_t sound = 0;
  size_t sound_refused = 0;
  size_t deadly_sends = 0;
};

ServiceOutcome PlayService(const ServicePlay& play) {
  constexpr double kSeconds = 60.0;
  constexpr double kStep = 0.01;
  constexpr double kDownSeconds = 3.0;
  constexpr double kRetrySeconds = 0.3;
  struct Open {
    PromptPartId request;
    double sent_at;
    double ends_at;
    bool is_retry;
  };
  std::mt19937 random(play.seed);
  PromptQuarantine node(At(-1.0));
  ServiceOutcome outcome;
  std::vector<std::vector<Open>> open(play.workers);
  std::vector<double> up_at(play.workers, 0.0);
  std::vector<Open> retries;
  uint64_t next_request = 1000;
  uint64_t starts = 0;
  const auto chance = [&random](double rate) {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random) < rate;
  };
  const auto end_worker = [&](size_t worker, double second) {
    Parts requests;
    for (const Open& attempt : open[worker]) {
      requests.push_back(attempt.request);
      if (!attempt.is_retry) {
        retries.push_back(Open{.request = attempt.request,
                               .sent_at = second + kRetrySeconds,
                               .ends_at = 0.0,
                               .is_retry = true});
      }
    }
    open[worker].clear();
    up_at[worker] = second + kDownSeconds;
    EndWorker(node, worker + play.workers * ++starts, requests, second);
  };
  const auto send = [&](PromptPartId request, double second, bool is_retry) {
    const bool is_deadly = request == kDeadlyRequest;
    if (node.IsQuarantined({request})) {
      outcome.sound_refused += is_deadly ? 0 : 1;
      return;
    }
    std::vector<size_t> up;
    for (size_t worker = 0; worker < play.workers; ++worker) {
      if (up_at[worker] <= second) {
        up.push_back(worker);
      }
    }
    if (up.empty()) {
      return;
    }
    const size_t worker = up[random() % up.size()];
    const double seconds = play.work_seconds * (0.5 + chance(0.1) * 5.0);
    open[worker].push_back(Open{.request = request,
                                .sent_at = second,
                                .ends_at = second + seconds,
                                .is_retry = is_retry});
    if (is_deadly) {
      ++outcome.deadly_sends;
      end_worker(worker, second + kStep / 2);
    }
  };
  double next_deadly = 5.0;
  double next_reclaim = play.reclaim_interval;
  for (double second = 0.0; second < kSeconds; second += kStep) {
    for (auto& attempts : open) {
      std::erase_if(attempts, [&](const Open& attempt) {
        if (attempt.ends_at > second) {
          return false;
        }
        node.RecordAnswered(attempt.request, At(attempt.sent_at), At(second));
        return true;
      });
    }
    const std::vector<Open> due = std::exchange(retries, {});
    for (const Open& retry : due) {
      if (retry.sent_at <= second) {
        send(retry.request, second, true);
      } else {
        retries.push_back(retry);
      }
    }
    if (chance(play.requests_per_second * kStep)) {
      ++outcome.sound;
      send(PromptPartId{next_request++}, second, false);
    }
    if (play.deadly_interval > 0.0 && second >= next_deadly) {
      next_deadly += play.deadly_interval;
      send(kDeadlyRequest, second, true);
    }
    if (play.reclaim_interval > 0.0 && second >= next_reclaim) {
      next_reclaim += play.reclaim_interval;
      for (size_t i = 0; i < play.reclaimed; ++i) {
        end_worker((i + random()) % play.workers, second);
      }
    }
    node.Step(At(second));
  }
  return outcome;
}

}  // namespace

Test(prompt_quarantine, a_request_open_beside_a_deadly_one_is_quarantined) {
  PromptQuarantine node = MakeOldNode();
  EndWorker(node, 1, {kDeadlyRequest, kSoundRequest, PromptPartId{1}}, 0.0);
  EndWorker(node, 2, {kDeadlyRequest, kSoundRequest, PromptPartId{2}}, 1.0);
  cr_assert(!node.IsQuarantined({kSoundRequest}));
  EndWorker(node, 3, {kDeadlyRequest, PromptPartId{3}}, 2.0);
  cr_assert(node.IsQuarantined({kDeadlyRequest}));
  node.Step(At(10.0));
  cr_assert(!node.IsQuarantined({kSoundRequest}));
}

Test(prompt_quarantine, a_request_answered_since_a_crash_stays_suspect) {
  PromptQuarantine node = MakeOldNode();
  EndWorker(node, 1, {kSoundRequest}, 0.0);
  cr_assert(node.IsSuspect(kSoundRequest));
  node.RecordAnswered(kSoundRequest, At(0.1), At(0.2));
  cr_assert(!node.IsSuspect(kSoundRequest));
  EndWorker(node, 2, {kSoundRequest}, 1.0);
  cr_assert(!node.IsQuarantined({kSoundRequest}));
}

Test(prompt_quarantine, requests_at_reclaimed_workers_are_quarantined) {
  PromptQuarantine node = MakeOldNode();
  for (uint64_t wave = 1; wave <= 3; ++wave) {
    for (uint64_t worker = 0; worker < 20; ++worker) {
      EndWorker(node, 100 * wave + worker, {PromptPartId{1000 + worker}},
                static_cast<double>(wave));
    }
  }
  cr_assert_eq(node.quarantined_count(), 0);
}

Test(prompt_quarantine, a_deadly_request_is_lost_among_many_reports) {
  PromptQuarantine sender = MakeOldNode();
  EndWorker(sender, 1, {kDeadlyRequest}, 0.0);
  PromptQuarantine receiver = MakeOldNode();
  EndWorker(receiver, 2, {kDeadlyRequest}, 1.0);
  sender.Merge(receiver.State(At(1.1)), At(1.1), At(1.1));
  cr_assert(sender.IsQuarantined({kDeadlyRequest}));
  for (uint64_t request = 0; request < 150; ++request) {
    EndWorker(sender, 1000 + request, {PromptPartId{5000 + request}}, 3.0);
  }
  const QuarantineState state = sender.State(At(3.1));
  cr_assert_leq(state.reports.size(), kMaximumCrashReports);
  cr_assert_eq(std::count_if(state.reports.begin(), state.reports.end(),
                             [](const CrashReport& report) {
                               return report.parts.front().part ==
                                      kDeadlyRequest;
                             }),
               2);
}

Test(prompt_quarantine, a_deadly_request_costs_sound_ones_or_many_workers) {
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    for (const size_t workers : {2, 3, 12}) {
      ServicePlay play{.workers = workers, .seed = seed};
      if (seed % 2 == 0) {
        play.reclaim_interval = 7.0;
        play.reclaimed = workers / 2;
      }
      const ServiceOutcome outcome = PlayService(play);
      // Three crashes, and three sends after contact time.
      cr_assert_leq(outcome.deadly_sends, 6, "seed %u: %zu sends", seed,
                    outcome.deadly_sends);
      cr_assert_leq(outcome.sound_refused, 5 + outcome.sound / 500,
                    "seed %u: %zu of %zu refused", seed, outcome.sound_refused,
                    outcome.sound);
    }
  }
}

Test(prompt_quarantine, workers_that_are_reclaimed_in_turn_cost_requests) {
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    const ServiceOutcome outcome =
        PlayService(ServicePlay{.workers = 12,
                                .work_seconds = 0.5,
                                .deadly_interval = 0.0,
                                .reclaim_interval = 0.7,
                                .seed = seed});
    cr_assert_leq(outcome.sound_refused, 5 + outcome.sound / 500,
                  "seed %u: %zu of %zu refused", seed, outcome.sound_refused,
                  outcome.sound);
  }
}
