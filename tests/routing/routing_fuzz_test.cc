#include <chrono>
#include <deque>
#include <functional>
#include <random>
#include <set>
#include <string>

#include "routing/choose_endpoint.h"
#include "routing/limit_share.h"
#include "routing/retry_budget.h"
#include "support/criterion.h"

// Stateful fuzzing of the routing cores against simple oracles. Injected faults
// check that each oracle detects violations.
using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;

constexpr uint64_t kFirstSeed = 1;
constexpr uint64_t kLastSeed = 40;
constexpr int kSteps = 400;
const ServiceName kService("model");

enum class Verdict { kHolds, kViolated };
using Fuzz = std::function<Verdict(uint64_t seed)>;

Verdict RunSeeds(const Fuzz& fuzz) {
  for (uint64_t seed = kFirstSeed; seed <= kLastSeed; ++seed) {
    if (fuzz(seed) == Verdict::kViolated) {
      return Verdict::kViolated;
    }
  }
  return Verdict::kHolds;
}

enum class TableFault { kNone, kPeerIgnored, kStaleListRevives, kEjectsAll };

// An endpoint table with an optional injected fault.
class TableSubject {
 public:
  explicit TableSubject(TableFault fault) : m_fault(fault) {}

  void ApplyList(const std::vector<Endpoint>& list, TimePoint now) {
    if (m_fault == TableFault::kStaleListRevives) {
      m_table = std::make_unique<EndpointTable>();
    }
    m_table->ApplyVmList(list, now);
  }
  void ApplyPeerNotice(const EndpointId& id, TimePoint now) {
    if (m_fault != TableFault::kPeerIgnored) {
      m_table->MarkLeaving(id, now);
    }
  }
  void ApplyResult(const EndpointId& id, AttemptResult result, TimePoint now) {
    m_table->RecordResult(id, result, now);
    if (m_fault == TableFault::kEjectsAll &&
        result != AttemptResult::kSucceeded) {
      m_table->MarkLeaving(id, now);
    }
  }
  EndpointTable& table() { return *m_table; }

 private:
  TableFault m_fault;
  std::unique_ptr<EndpointTable> m_table = std::make_unique<EndpointTable>();
};

// Simulates the VMs behind a table; ids are never reused.
class TableFuzz {
 public:
  TableFuzz(TableFault fault, uint64_t seed)
      : m_subject(fault), m_generator(seed) {}

  Verdict Run() {
    for (int step = 0; step < kSteps; ++step) {
      m_now += milliseconds(100);
      Step();
      if (Check() == Verdict::kViolated) {
        return Verdict::kViolated;
      }
    }
    return Verdict::kHolds;
  }

 private:
  size_t RandomBelow(size_t bound) { return m_generator() % bound; }

  EndpointId RandomId() {
    return EndpointId("vm" + std::to_string(RandomBelow(m_next_id + 2)));
  }

  void Step() {
    switch (RandomBelow(6)) {
      case 0:
        m_live.insert(EndpointId("vm" + std::to_string(m_next_id++)));
        RememberList();
        break;
      case 1:
        if (m_live.size() > 2) {
          m_live.erase(std::next(m_live.begin(), RandomBelow(m_live.size())));
          RememberList();
        }
        break;
      case 2:
        ApplyLaggingList();
        break;
      case 3:
        ReceivePeerNotice();
        break;
      case 4:
        m_subject.ApplyResult(
            RandomId(), static_cast<AttemptResult>(RandomBelow(3)), m_now);
        break;
      default:
        m_subject.table().ApplyReport(
            RandomId(), {.sampled_at = m_now - milliseconds(RandomBelow(3000)),
                         .running = static_cast<uint32_t>(RandomBelow(40))});
    }
  }

  void RememberList() {
    std::vector<Endpoint> list;
    for (const EndpointId& id : m_live) {
      list.push_back(Endpoint{.id = id, .service = kService});
    }
    m_lists.push_back(std::move(list));
    if (m_lists.size() > 5) {
      m_lists.pop_front();
    }
  }

  // Applies an outdated list. Known endpoints missing from it count as leaving,
  // even those that are newer than the list: the table cannot distinguish them,
  // so the oracle expects the same.
  void ApplyLaggingList() {
    if (m_lists.empty()) {
      return;
    }
    const std::vector<Endpoint>& list = m_lists[RandomBelow(m_lists.size())];
    std::set<EndpointId> listed;
    for (const Endpoint& endpoint : list) {
      listed.insert(endpoint.id);
    }
    for (const EndpointId& id : m_known) {
      if (!listed.contains(id)) {
        m_known_leaving.insert(id);
      }
    }
    m_known.insert(listed.begin(), listed.end());
    m_subject.ApplyList(list, m_now);
  }

  void ReceivePeerNotice() {
    const EndpointId id = RandomId();
    if (!m_live.contains(id)) {
      m_known_leaving.insert(id);
      m_known.insert(id);
      m_subject.ApplyPeerNotice(id, m_now);
    }
  }

  Verdict Check() {
    RouteRequest request;
    request.service = kService;
    const auto chosen = ChooseEndpoint(
        request,
        {.endpoints = m_subject.table(), .prefixes = m_prefixes, .now = m_now},
        m_generator);
    size_t usable = 0;
    for (const EndpointId& id : m_known) {
      usable += m_known_leaving.contains(id) ? 0 : 1;
    }
    const bool is_leaving = chosen && m_known_leaving.contains(*chosen);
    const bool is_missing = !chosen && usable > 0;
    return is_leaving || is_missing ? Verdict::kViolated : Verdict::kHolds;
  }

  TableSubject m_subject;
  std::mt19937_64 m_generator;
  PrefixIndex m_prefixes;
  TimePoint m_now{std::chrono::hours(1)};
  size_t m_next_id = 0;
  std::set<EndpointId> m_live;
  std::deque<std::vector<Endpoint>> m_lists;
  std::set<EndpointId> m_known;
  std::set<EndpointId> m_known_leaving;
};

Fuzz FuzzTable(TableFault fault) {
  return [fault](uint64_t seed) { return TableFuzz(fault, seed).Run(); };
}

enum class LimitFault { kNone, kRaisedAtOnce };
enum class Delivery { kLate, kLossy };

struct LimitMember {
  explicit LimitMember(double limit, uint32_t members)
      : share(limit, members) {}
  LimitShare share;
  double unsafe_share = 0.0;
  double demand = 0.0;
  // Sums in transit: arrival time, reported demand and sum.
  std::deque<std::pair<TimePoint, std::pair<double, DemandSum>>> pending;
};

// Members of a group whose sums arrive late, out of order or never.
Verdict FuzzLimit(LimitFault fault, Delivery delivery, uint64_t seed) {
  constexpr double kLimit = 100.0;
  constexpr uint32_t kMembers = 6;
  const double allowed = delivery == Delivery::kLate ? kLimit : 2.0 * kLimit;
  std::mt19937_64 generator(seed);
  std::vector<LimitMember> members(kMembers, LimitMember(kLimit, kMembers));
  TimePoint now{std::chrono::hours(1)};
  for (int step = 0; step < kSteps; ++step) {
    now += milliseconds(500);
    DemandSum sum{.members = kMembers, .summed_at = now};
    for (LimitMember& member : members) {
      if (generator() % 5 == 0) {
        member.demand = static_cast<double>(generator() % 100);
      }
      sum.total += member.demand;
    }
    double admitted = 0.0;
    for (LimitMember& member : members) {
      const bool is_lost = delivery == Delivery::kLossy && generator() % 3 == 0;
      if (!is_lost) {
        member.pending.push_back(
            {now + milliseconds(generator() % 2000), {member.demand, sum}});
      }
      std::erase_if(member.pending, [&member, now](const auto& entry) {
        if (entry.first > now) {
          return false;
        }
        member.share.Apply(entry.second.first, entry.second.second, now);
        member.unsafe_share =
            SplitLimit(kLimit, entry.second.first, entry.second.second);
        return true;
      });
      admitted += fault == LimitFault::kNone ? member.share.Share(now)
                                             : member.unsafe_share;
    }
    if (admitted > allowed + 1e-6) {
      return Verdict::kViolated;
    }
  }
  return Verdict::kHolds;
}

enum class BudgetFault { kNone, kNotTaken };

Verdict FuzzBudget(BudgetFault fault, uint64_t seed) {
  std::mt19937_64 generator(seed);
  RetryBudget budget;
  uint64_t first_attempts = 0;
  uint64_t retries = 0;
  for (int step = 0; step < kSteps; ++step) {
    if (generator() % 3 == 0) {
      budget.RecordFirstAttempt();
      ++first_attempts;
      continue;
    }
    RetryBudget copy = budget;
    RetryBudget& asked = fault == BudgetFault::kNone ? budget : copy;
    retries += asked.TryAcquireRetry() ? 1 : 0;
    if (retries * 10 > first_attempts) {
      return Verdict::kViolated;
    }
  }
  return Verdict::kHolds;
}

}  // namespace

Test(routing_fuzz, a_known_leaving_endpoint_is_never_chosen) {
  cr_assert(RunSeeds(FuzzTable(TableFault::kNone)) == Verdict::kHolds);
}

Test(routing_fuzz, injected_faults_of_the_table_are_detected) {
  for (const TableFault fault :
       {TableFault::kPeerIgnored, TableFault::kStaleListRevives,
        TableFault::kEjectsAll}) {
    cr_assert(RunSeeds(FuzzTable(fault)) == Verdict::kViolated);
  }
}

Test(routing_fuzz, late_sums_never_exceed_the_limit) {
  cr_assert(RunSeeds([](uint64_t seed) {
              return FuzzLimit(LimitFault::kNone, Delivery::kLate, seed);
            }) == Verdict::kHolds);
}

Test(routing_fuzz, lost_sums_never_exceed_twice_the_limit) {
  cr_assert(RunSeeds([](uint64_t seed) {
              return FuzzLimit(LimitFault::kNone, Delivery::kLossy, seed);
            }) == Verdict::kHolds);
}

Test(routing_fuzz, an_injected_early_raise_is_detected) {
  cr_assert(RunSeeds([](uint64_t seed) {
              return FuzzLimit(LimitFault::kRaisedAtOnce, Delivery::kLate,
                               seed);
            }) == Verdict::kViolated);
}

Test(routing_fuzz, retries_stay_within_the_budget) {
  cr_assert(RunSeeds([](uint64_t seed) {
              return FuzzBudget(BudgetFault::kNone, seed);
            }) == Verdict::kHolds);
}

Test(routing_fuzz, an_injected_uncounted_retry_is_detected) {
  cr_assert(RunSeeds([](uint64_t seed) {
              return FuzzBudget(BudgetFault::kNotTaken, seed);
            }) == Verdict::kViolated);
}
