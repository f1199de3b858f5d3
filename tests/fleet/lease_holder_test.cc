#include "fleet/lease_holder.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "fleet/weight_store_limiter.h"
#include "support/criterion.h"

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class NoAudit final : public AuditSink {
 public:
  void Record(const AuditRecord& /*record*/) override {}
};

// A store with a single key, and a clock.
struct Fixture {
  NoAudit audit;
  LeaseTerms terms;
  TimePoint now{seconds(100)};
  StoreRevision revision = 0;
  std::string value;

  enum class CallOutcome { kAnswered, kAnswerLost, kCallLost, kRefused };

  LeaseHolder Make(const char* name) {
    return LeaseHolder("lease/dc", name, terms, audit);
  }
  StoreResult Perform(const StoreCall& call) {
    const bool is_write = call.kind == StoreCall::Kind::kWrite;
    if (is_write && call.expected != revision) {
      return {StoreStatus::kConflict, revision, value};
    }
    if (is_write) {
      ++revision;
      value = call.value;
    }
    return {StoreStatus::kOk, revision, value};
  }
  // Runs one step of a holder and treats its store call, if any, as `outcome`
  // says.
  void Step(LeaseHolder& holder, CallOutcome outcome = CallOutcome::kAnswered) {
    const auto call = holder.Step(
        now,
        std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(
                now.time_since_epoch())));
    if (!call) {
      return;
    }
    if (outcome == CallOutcome::kRefused) {
      holder.OnAnswer(call->number, {StoreStatus::kUnavailable, 0, ""}, now);
      return;
    }
    const StoreResult result =
        outcome == CallOutcome::kCallLost ? StoreResult{} : Perform(*call);
    if (outcome == CallOutcome::kAnswered) {
      holder.OnAnswer(call->number, result, now);
    }
  }
  void Run(LeaseHolder& holder,
           Duration time,
           CallOutcome outcome = CallOutcome::kAnswered) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(100);
      Step(holder, outcome);
    }
  }
};

}  // namespace

Test(lease_holder, takes_a_free_lease_and_renews_it) {
  Fixture fixture;
  LeaseHolder a = fixture.Make("a");
  fixture.Run(a, seconds(1));
  cr_assert(a.StateAt(fixture.now) == LeaseState::kHeld);
  cr_assert(a.fence() == 1);
  fixture.Run(a, seconds(30));
  cr_assert(a.MayOrder(fixture.now));
  cr_assert(a.fence() == 1);
}

Test(lease_holder, a_grant_whose_answer_is_lost_is_found_by_reading) {
  Fixture fixture;
  LeaseHolder a = fixture.Make("a");
  fixture.Step(a);
  fixture.now += milliseconds(100);
  fixture.Step(a, Fixture::CallOutcome::kAnswerLost);
  cr_assert(!a.MayOrder(fixture.now));
  const TimePoint sent = fixture.now;
  fixture.Run(a, seconds(5));
  cr_assert(a.fence() == 1);
  // The safe time starts when the write was sent, not at the read.
  cr_assert(!a.MayOrder(sent + seconds(20)));
}

Test(lease_holder, a_released_lease_is_taken_without_waiting) {
  Fixture fixture;
  LeaseHolder a = fixture.Make("a");
  LeaseHolder b = fixture.Make("b");
  fixture.Run(a, seconds(1));
  fixture.Run(b, seconds(1));
  const FencingNumber fence = a.fence();
  a.Release("the store turns this node away");
  cr_assert(!a.MayOrder(fixture.now));
  b.NoteReleased(fence);
  fixture.Run(b, milliseconds(500));
  cr_assert(b.MayOrder(fixture.now));
  cr_assert(b.fence() == fence + 1);
  // The release of an older grant does not free the new one.
  LeaseHolder c = fixture.Make("c");
  c.NoteReleased(fence);
  fixture.Run(c, seconds(1));
  cr_assert(!c.MayOrder(fixture.now));
}

Test(lease_holder, a_late_renewal_of_a_released_grant_changes_nothing) {
  Fixture fixture;
  LeaseHolder a = fixture.Make("a");
  LeaseHolder b = fixture.Make("b");
  fixture.Run(a, milliseconds(500));
  fixture.Run(b, milliseconds(500));
  // The answers of renewals are lost, and then the lease is released.
  fixture.Run(a, seconds(2), Fixture::CallOutcome::kAnswerLost);
  const FencingNumber fence = a.fence();
  a.Release("stopping");
  b.NoteReleased(fence);
  fixture.Run(b, seconds(1));
  cr_assert(b.MayOrder(fixture.now));
  cr_assert(!a.MayOrder(fixture.now));
  fixture.Run(a, seconds(3));
  cr_assert(!a.MayOrder(fixture.now));
}

Test(lease_holder, a_second_node_waits_for_the_safe_time_and_late_orders) {
  Fixture fixture;
  LeaseHolder a = fixture.Make("a");
  LeaseHolder b = fixture.Make("b");
  fixture.Run(a, seconds(1));
  fixture.Run(b, seconds(1));
  TimePoint last_safe{};
  // The holder is cut off from the store; the other node is not.
  while (b.StateAt(fixture.now) != LeaseState::kHeld) {
    fixture.now += milliseconds(100);
    fixture.Step(a, Fixture::CallOutcome::kRefused);
    fixture.Step(b);
    last_safe = a.MayOrder(fixture.now) ? fixture.now : last_safe;
    cr_assert(!(a.MayOrder(fixture.now) && b.MayOrder(fixture.now)));
  }
  cr_assert(fixture.now - last_safe >= fixture.terms.order_timeout);
  cr_assert(b.fence() == 2);
  fixture.Run(a, seconds(5));
  cr_assert(a.StateAt(fixture.now) == LeaseState::kWaiting);
}

Test(lease_holder, orders_stop_during_a_store_outage_and_resume_after_it) {
  Fixture fixture;
  LeaseHolder a = fixture.Make("a");
  fixture.Run(a, seconds(1));
  fixture.Run(a, std::chrono::hours(1), Fixture::CallOutcome::kCallLost);
  cr_assert(a.StateAt(fixture.now) == LeaseState::kLapsed);
  fixture.Run(a, seconds(10));
  cr_assert(a.StateAt(fixture.now) == LeaseState::kHeld);
}

Test(lease_holder, a_pause_missed_by_the_monotonic_clock_ends_the_safe_time) {
  Fixture fixture;
  LeaseHolder a = fixture.Make("a");
  fixture.Run(a, seconds(1));
  cr_assert(a.MayOrder(fixture.now));
  const auto wall = std::chrono::system_clock::time_point(
      std::chrono::duration_cast<std::chrono::system_clock::duration>(
          fixture.now.time_since_epoch() + seconds(30)));
  a.Step(fixture.now, wall);
  cr_assert(!a.MayOrder(fixture.now));
  cr_assert(a.longest_pause() >= seconds(30));
}

Test(lease_holder, an_unreadable_record_never_lowers_the_fencing_number) {
  Fixture fixture;
  for (const char* name : {"a", "b", "c"}) {
    LeaseHolder holder = fixture.Make(name);
    fixture.Run(holder, seconds(15));
    cr_assert(holder.StateAt(fixture.now) == LeaseState::kHeld);
  }
  const FencingNumber before = ParseLeaseRecord(fixture.value)->fence;
  fixture.value = "garbage";
  ++fixture.revision;
  LeaseHolder holder = fixture.Make("d");
  fixture.Run(holder, seconds(15));
  cr_assert(holder.fence() > before);
}

Test(lease_holder, a_restarted_process_gets_a_new_fencing_number) {
  Fixture fixture;
  LeaseHolder first = fixture.Make("a.1");
  fixture.Run(first, seconds(1));
  LeaseHolder second = fixture.Make("a.2");
  fixture.Run(second, seconds(12));
  cr_assert(second.fence() == 2);
}

namespace {

// A store with several keys that can be restored from a copy.
struct RestorableStore {
  struct State {
    std::map<std::string, std::pair<StoreRevision, std::string>> items;
    StoreRevision revision = 0;
  };

  StoreResult Perform(const StoreCall& call) {
    auto& [revision, value] = state.items[call.key];
    if (call.kind == StoreCall::Kind::kWrite && call.expected != revision) {
      return {StoreStatus::kConflict, revision, value, history};
    }
    if (call.kind == StoreCall::Kind::kWrite) {
      revision = ++state.revision;
      value = call.value;
    }
    return {StoreStatus::kOk, revision, value, history};
  }
  void Step(LeaseHolder& holder) {
    if (const auto call = holder.Step(now, WallNow())) {
      holder.OnAnswer(call->number, Perform(*call), now);
    }
  }
  void Run(const std::vector<LeaseHolder*>& holders, Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(100);
      for (LeaseHolder* holder : holders) {
        Step(*holder);
      }
    }
  }
  void RestoreCopy() {
    state = copy;
    ++history;
  }
  std::chrono::system_clock::time_point WallNow() const {
    return std::chrono::system_clock::time_point(
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            now.time_since_epoch()));
  }

  TimePoint now{seconds(100)};
  State state;
  State copy;
  StoreHistory history = 1;
};

}  // namespace

Test(lease_holder, a_fencing_number_that_the_store_forgot_is_not_given_again) {
  RestorableStore store;
  NoAudit audit;
  LeaseHolder first("lease", "first", LeaseTerms{}, audit);
  store.Run({&first}, seconds(1));
  store.copy = store.state;
  first.Release("stopped");
  LeaseHolder second("lease", "second", LeaseTerms{}, audit);
  store.Run({&second}, seconds(20));
  cr_assert(second.MayOrder(store.now));
  // The second holder is lost together with the store's memory of it.
  store.RestoreCopy();
  LeaseHolder third("lease", "third", LeaseTerms{}, audit);
  store.Run({&third}, seconds(20));
  cr_assert(third.MayOrder(store.now));
  cr_assert(third.fence() > second.fence());
}

Test(lease_holder, a_holder_that_the_store_forgot_does_not_act_beside_another) {
  RestorableStore store;
  NoAudit audit;
  LeaseHolder forgotten("lease", "forgotten", LeaseTerms{}, audit);
  LeaseHolder waiting("lease", "waiting", LeaseTerms{}, audit);
  store.Run({&forgotten}, seconds(20));
  // Only the other node learns of the restore.
  store.RestoreCopy();
  for (int step = 0; step < 200; ++step) {
    store.Run({&waiting}, milliseconds(100));
    cr_assert(!waiting.MayOrder(store.now) || !forgotten.MayOrder(store.now));
  }
  cr_assert(waiting.MayOrder(store.now));
}

Test(lease_holder, the_holder_keeps_the_lease_when_the_store_is_restored) {
  RestorableStore store;
  NoAudit audit;
  LeaseHolder holder("lease", "holder", LeaseTerms{}, audit);
  LeaseHolder waiting("lease", "waiting", LeaseTerms{}, audit);
  store.Run({&holder, &waiting}, seconds(5));
  const auto held_since = holder.held_since();
  for (int restore = 0; restore < 3; ++restore) {
    const FencingNumber before = holder.fence();
    store.RestoreCopy();
    for (int step = 0; step < 100; ++step) {
      store.Run({&waiting, &holder}, milliseconds(100));
      cr_assert(holder.MayOrder(store.now) && !waiting.MayOrder(store.now));
    }
    cr_assert(holder.fence() > before);
    cr_assert(holder.history_since().has_value());
  }
  cr_assert(holder.held_since() == held_since);
}

// Another node's grant has the revision that the late renewal expects.
Test(lease_holder, a_late_write_of_an_earlier_history_takes_no_lease) {
  RestorableStore store;
  NoAudit audit;
  LeaseHolder old("lease", "old", LeaseTerms{}, audit);
  store.Run({&old}, seconds(1));
  std::optional<StoreCall> late;
  while (!late || late->kind != StoreCall::Kind::kWrite) {
    store.now += milliseconds(100);
    late = old.Step(store.now, store.WallNow());
  }
  store.RestoreCopy();
  LeaseHolder other("lease", "other", LeaseTerms{}, audit);
  while (!other.MayOrder(store.now)) {
    store.Run({&other}, milliseconds(100));
  }
  store.Perform(*late);
  for (int step = 0; step < 200; ++step) {
    store.Run({&other}, milliseconds(100));
    cr_assert(other.MayOrder(store.now));
  }
}

// Restores beside silent and restarted nodes.
Test(lease_holder, random_restores_never_leave_two_holders) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    RestorableStore store;
    NoAudit audit;
    std::vector<std::unique_ptr<LeaseHolder>> nodes(3);
    std::vector<std::string> names(nodes.size());
    std::vector<TimePoint> silent_until(nodes.size());
    int starts = 0;
    const auto start = [&](size_t node) {
      names[node] = "node" + std::to_string(++starts);
      nodes[node] = std::make_unique<LeaseHolder>("lease", names[node],
                                                  LeaseTerms{}, audit);
    };
    for (size_t node = 0; node < nodes.size(); ++node) {
      start(node);
    }
    FencingNumber highest = 0;
    std::string holder_of_highest;
    for (int step = 0; step < 3000; ++step) {
      store.now += milliseconds(100);
      if (random() % 100 == 0) {
        store.copy = store.state;
      }
      if (random() % 200 == 0) {
        store.RestoreCopy();
      }
      if (random() % 150 == 0) {
        start(random() % nodes.size());
      }
      if (random() % 100 == 0) {
        silent_until[random() % nodes.size()] =
            store.now + milliseconds(random() % 9000);
      }
      size_t acting = 0;
      for (size_t node = 0; node < nodes.size(); ++node) {
        LeaseHolder& holder = *nodes[node];
        if (const auto call = holder.Step(store.now, store.WallNow())) {
          const bool is_executed =
              store.now >= silent_until[node] || random() % 2 == 0;
          const StoreResult result =
              is_executed ? store.Perform(*call) : StoreResult{};
          if (store.now >= silent_until[node]) {
            holder.OnAnswer(call->number, result, store.now);
          }
        }
        if (!holder.MayOrder(store.now)) {
          continue;
        }
        ++acting;
        cr_assert(
            holder.fence() > highest ||
                (holder.fence() == highest && names[node] == holder_of_highest),
            "seed %lu", seed);
        highest = holder.fence();
        holder_of_highest = names[node];
      }
      cr_assert(acting <= 1, "seed %lu", seed);
    }
    cr_assert(highest > 0);
  }
}

Test(lease_holder, two_nodes_that_release_in_turn_do_not_alternate) {
  RestorableStore store;
  NoAudit audit;
  const LeaseTerms terms;
  LeaseHolder a("lease", "a", terms, audit);
  LeaseHolder b("lease", "b", terms, audit);
  std::vector<LeaseHolder*> holders = {&a, &b};
  std::vector<TimePoint> last_act(2);
  size_t last_holder = 2;
  for (int step = 0; step < 1200; ++step) {
    store.Run(holders, milliseconds(100));
    for (size_t node = 0; node < holders.size(); ++node) {
      LeaseHolder& holder = *holders[node];
      if (!holder.MayOrder(store.now)) {
        continue;
      }
      cr_assert(node == last_holder || last_act[node] == TimePoint{} ||
                store.now - last_act[node] >= terms.term);
      last_act[node] = store.now;
      last_holder = node;
      // The store counts as lost as soon as the node holds the lease.
      const FencingNumber released = holder.fence();
      holder.Release("lost");
      holders[1 - node]->NoteReleased(released);
    }
  }
  cr_assert(last_act[0] != TimePoint{} && last_act[1] != TimePoint{});
}

Test(lease_holder, an_unreadable_record_after_a_restore_lowers_no_number) {
  RestorableStore store;
  NoAudit audit;
  store.history = 4;
  std::vector<std::unique_ptr<LeaseHolder>> holders;
  FencingNumber highest = 0;
  for (const char* name : {"a", "b", "c"}) {
    holders.push_back(
        std::make_unique<LeaseHolder>("lease", name, LeaseTerms{}, audit));
    store.Run({holders.back().get()}, seconds(30));
    cr_assert(holders.back()->MayOrder(store.now));
    cr_assert(holders.back()->fence() > highest);
    highest = holders.back()->fence();
    store.state.items["lease@4"] = {++store.state.revision, "unreadable"};
  }
}

Test(weight_store_limiter,
     protected_need_comes_first_and_the_sum_is_the_total) {
  WeightStoreShareTable table;
  table["a"] = WeightStoreShare{.protected_need = 8.0};
  table["b"] = WeightStoreShare{.other_need = 50.0};
  table["c"] = WeightStoreShare{.protected_need = 1.0, .other_need = 5.0};
  const double a = FairRate(table, "a", 10.0);
  const double b = FairRate(table, "b", 10.0);
  const double c = FairRate(table, "c", 10.0);
  cr_assert(a >= 8.0 && c >= 1.0);
  cr_assert(a + b + c <= 10.0 + 1e-9);
  table["a"].protected_need = 80.0;
  cr_assert(FairRate(table, "b", 10.0) < 0.1);
}

Test(weight_store_limiter, a_table_round_trips_and_malformed_text_is_rejected) {
  WeightStoreShareTable table;
  table["a"] = WeightStoreShare{
      .rate = 0.5, .protected_need = 1.0, .other_need = 2.0, .beat = 7};
  cr_assert(ParseWeightStoreShares(FormatWeightStoreShares(table)) == table);
  for (const char* text : {"", "[]", "{\"a\":1}", "{"}) {
    cr_assert(!ParseWeightStoreShares(text), "%s", text);
  }
}

Test(lease_record, round_trips_and_rejects_malformed_text) {
  const LeaseRecord record{.holder = "a.1", .fence = 7, .beat = 9};
  cr_assert(ParseLeaseRecord(FormatLeaseRecord(record)) == record);
  for (const char* text :
       {"", "[]", "{}", "{\"holder\":\"a\",\"fence\":-1,\"beat\":1}", "{"}) {
    cr_assert(!ParseLeaseRecord(text), "%s", text);
  }
}

}  // namespace pistachiowalk
