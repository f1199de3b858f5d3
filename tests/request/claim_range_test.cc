#include "request/claim_range.h"

#include "support/criterion.h"
#include "support/fake_store.h"

using namespace pistachiowalk;
using pistachiowalk::testing::FakeStore;
using pistachiowalk::testing::StoreFault;

namespace {

using std::chrono::milliseconds;

// One node's range, with a fake store that answers immediately.
class RangeWithStore {
 public:
  RangeWithStore(FakeStore& store, const char* node, ClaimRangeOptions options)
      : m_store(store), m_range(options, NodeId(node)) {}

  std::optional<ClaimVerdict> Claim(const char* request,
                                    const char* key,
                                    const char* digest = "d") {
    ClaimEntry claim = Entry(ClaimEntryKind::kClaim, request, key);
    claim.digest = digest;
    Perform(m_range.Claim(claim, m_time));
    return m_verdict;
  }
  void RecordOutcome(const char* request, const char* key) {
    Perform(m_range.RecordOutcome(Entry(ClaimEntryKind::kOutcome, request, key),
                                  m_time));
  }
  void Release(const char* request, const char* key) {
    Perform(
        m_range.Release(Entry(ClaimEntryKind::kRelease, request, key), m_time));
  }
  std::optional<ClaimVerdict> Pass(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(50)) {
      m_time.now += milliseconds(50);
      m_time.wall_ms += 50;
      Perform(m_range.Tick(m_time));
    }
    return m_verdict;
  }
  const ActionReply& reply() const { return m_reply; }
  size_t table_size() const { return m_range.table_size(); }
  bool IsIdle() const { return m_range.IsIdle(); }

 private:
  static ClaimEntry Entry(ClaimEntryKind kind,
                          const char* request,
                          const char* key) {
    ClaimEntry entry{
        .kind = kind, .key = key, .request = RequestId(request), .digest = "d"};
    if (kind == ClaimEntryKind::kOutcome) {
      entry.reply = ActionReply{201, "text/plain", "done"};
    }
    return entry;
  }

  void Perform(const ClaimCommands& commands) {
    if (!commands.empty()) {
      m_verdict.reset();
    }
    for (const ClaimCommand& command : commands) {
      if (const auto* read = std::get_if<ReadSegment>(&command)) {
        m_store.Get(read->key, Answer(read->call));
      } else if (const auto* write = std::get_if<WriteSegment>(&command)) {
        m_store.CompareAndSwap(write->key, write->expected, write->value,
                               Answer(write->call));
      } else {
        const ClaimDecided& decided = std::get<SettleClaim>(command).decided;
        m_verdict = decided.verdict;
        m_reply = decided.reply;
      }
    }
    m_store.AnswerAll();
  }

  StorePort::Callback Answer(StoreCallNumber call) {
    return [this, call](const StoreResult& result) {
      const ClaimCommands commands =
          m_range.OnStoreResult(call, result, m_time);
      if (!commands.empty()) {
        Perform(commands);
      }
    };
  }

  FakeStore& m_store;
  ClaimRange m_range;
  ClaimTime m_time{.now = TimePoint{}, .wall_ms = 1'000'000};
  std::optional<ClaimVerdict> m_verdict;
  ActionReply m_reply;
};

ClaimRangeOptions SmallRange() {
  return {.prefix = "claims/0",
          .slots = 3,
          .segment_bytes = 150,
          .commit_interval = milliseconds(0),
          .retention = milliseconds(5000)};
}

}  // namespace

Test(claim_range, table_of_store_faults) {
  struct Case {
    const char* name;
    std::deque<StoreFault> faults;
    std::optional<ClaimVerdict> expected;
  };
  using enum StoreFault;
  const Case cases[] = {
      {"none", {}, ClaimVerdict::kGranted},
      {"first read refused", {kUnavailable}, ClaimVerdict::kGranted},
      {"write refused", {kNone, kUnavailable}, ClaimVerdict::kGranted},
      {"write lost", {kNone, kCallLost}, ClaimVerdict::kGranted},
      {"answer lost", {kNone, kAnswerLost}, ClaimVerdict::kGranted},
      {"answer and reads lost",
       {kNone, kAnswerLost, kUnavailable, kUnavailable, kUnavailable,
        kUnavailable, kUnavailable, kUnavailable},
       ClaimVerdict::kUnavailable},
  };
  for (const Case& fault_case : cases) {
    FakeStore store;
    RangeWithStore node(store, "n1", SmallRange());
    store.PlanFaults(fault_case.faults);
    node.Claim("r1", "k1");
    cr_assert(node.Pass(milliseconds(1200)) == fault_case.expected, "%s",
              fault_case.name);
  }
}

Test(claim_range, grants_a_key_once_and_returns_its_outcome) {
  FakeStore store;
  RangeWithStore first(store, "n1", SmallRange());
  RangeWithStore second(store, "n2", SmallRange());
  cr_assert(first.Claim("r1", "k1") == ClaimVerdict::kGranted);
  second.Claim("r2", "k1");
  cr_assert(second.Pass(milliseconds(1200)) == ClaimVerdict::kHeldByAnother);
  first.RecordOutcome("r1", "k1");
  second.Pass(milliseconds(50));
  cr_assert(second.Claim("r3", "k1") == ClaimVerdict::kFinished);
  cr_assert(second.reply() == (ActionReply{201, "text/plain", "done"}));
  cr_assert(second.Claim("r4", "k1", "other") == ClaimVerdict::kDigestMismatch);
}

Test(claim_range, a_retry_waits_for_the_outcome) {
  FakeStore store;
  RangeWithStore first(store, "n1", SmallRange());
  RangeWithStore second(store, "n2", SmallRange());
  first.Claim("r1", "k1");
  cr_assert(not(second.Claim("r2", "k1")));
  cr_assert(not(second.Pass(milliseconds(500))));
  first.RecordOutcome("r1", "k1");
  cr_assert(second.Pass(milliseconds(300)) == ClaimVerdict::kFinished);
}

Test(claim_range, a_released_key_can_be_claimed_again) {
  FakeStore store;
  RangeWithStore first(store, "n1", SmallRange());
  RangeWithStore second(store, "n2", SmallRange());
  first.Claim("r1", "k1");
  second.Claim("r2", "k1");
  cr_assert(second.Pass(milliseconds(1200)) == ClaimVerdict::kHeldByAnother);
  first.Release("r1", "k1");
  second.Pass(milliseconds(50));
  cr_assert(second.Claim("r3", "k1") == ClaimVerdict::kGranted);
}

Test(claim_range, a_refused_claim_never_holds_its_key) {
  FakeStore store;
  RangeWithStore node(store, "n1", SmallRange());
  using enum StoreFault;
  store.PlanFaults({kNone, kAnswerLost, kUnavailable, kUnavailable,
                    kUnavailable, kUnavailable, kUnavailable, kUnavailable});
  node.Claim("r1", "k1");
  cr_assert(node.Pass(milliseconds(1200)) == ClaimVerdict::kUnavailable);
  node.Pass(milliseconds(3000));
  cr_assert(node.IsIdle());
  cr_assert(node.Claim("r2", "k1") == ClaimVerdict::kGranted);
}

Test(claim_range, a_full_range_refuses_claims_until_keys_expire) {
  FakeStore store;
  RangeWithStore node(store, "n1", SmallRange());
  std::vector<std::string> keys;
  for (int i = 0; i < 20; ++i) {
    keys.push_back("k" + std::to_string(i));
  }
  int granted = 0;
  for (const std::string& key : keys) {
    node.Claim(key.c_str(), key.c_str());
    granted += node.Pass(milliseconds(100)) == ClaimVerdict::kGranted ? 1 : 0;
  }
  cr_assert(granted > 0 && granted < 20, "%d", granted);
  node.Pass(milliseconds(6000));
  cr_assert(node.Claim("late", "late") == ClaimVerdict::kGranted);
  RangeWithStore other(store, "n2", SmallRange());
  other.Claim("r2", "late");
  cr_assert(other.Pass(milliseconds(1200)) == ClaimVerdict::kHeldByAnother);
  cr_assert(other.table_size() == node.table_size());
}

Test(claim_range, refuses_immediately_while_the_store_is_down) {
  FakeStore store;
  RangeWithStore node(store, "n1", SmallRange());
  node.Claim("r1", "k1");
  store.PlanFaults(std::deque<StoreFault>(100, StoreFault::kUnavailable));
  node.Claim("r2", "k2");
  node.Pass(milliseconds(400));
  cr_assert(node.Claim("r3", "k3") == ClaimVerdict::kUnavailable);
}
