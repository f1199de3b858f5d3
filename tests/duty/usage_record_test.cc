#include "duty/usage_record.h"

#include "duty/duty_lease.h"
#include "duty/fake_cloud.h"
#include "duty/usage_reporter.h"
#include "support/fake_store.h"
#include "support/manual_clock.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::system_clock;

const CustomerName kAcme("acme");
// The beginning of a window of five seconds.
const system_clock::time_point kWall(seconds(1700000000));

// One incarnation of a node that holds the duty lease.
struct Holder {
  Holder(EventLoop& loop,
         ManualClock& clock,
         FakeStore& store,
         FakeCloud& cloud,
         uint64_t incarnation)
      : own{.node = NodeId("a"), .incarnation = incarnation},
        ledger(milliseconds(5000)),
        lease(loop,
              clock,
              store,
              // Each incarnation has its own lease; the transfer of a lease
              // between holders is covered by the tests of LeaseHolder.
              "lease-" + std::to_string(incarnation),
              "a/" + std::to_string(incarnation),
              LeaseTerms{},
              [] { return false; }),
        record(clock, store, lease, ledger, "record"),
        reporter(clock, store, cloud, lease, ledger, NodeId("a"), "usage/") {
    lease.Start();
    store.AnswerAll();
    loop.Schedule(milliseconds(450), [&loop] { loop.Stop(); });
    loop.Run();
    store.AnswerAll();
  }

  // The calls that the gateway makes several times a second.
  void Step(FakeStore& store, system_clock::time_point wall) {
    record.Step(own, ledger.WindowOf(wall));
    store.AnswerAll();
    if (record.IsRestored()) {
      reporter.Step(wall);
      store.AnswerAll();
    } else {
      reporter.StepIdle(wall);
    }
  }

  NodeIncarnation own;
  UsageLedger ledger;
  DutyLease lease;
  UsageRecord record;
  UsageReporter reporter;
};

}  // namespace

// All nodes lose power a second before a window ends. The requests started
// before must be reported together with those started after the restart.
Test(usage_record, usage_survives_the_loss_of_all_nodes) {
  EventLoop loop;
  ManualClock clock;
  clock.Advance(seconds(100));
  FakeStore store;
  FakeCloud cloud;
  {
    Holder before(loop, clock, store, cloud, 1);
    cr_assert(before.lease.MayAct());
    const UsageWindow window = before.ledger.WindowOf(kWall);
    before.reporter.StepIdle(kWall);
    before.Step(store, kWall);
    before.ledger.NoteStarted(kAcme, window);
    before.ledger.MergeNodeCounts(NodeId("b"), 4,
                                  {StartedCount{window, kAcme, 10}});
    clock.Advance(milliseconds(1100));
    before.Step(store, kWall + seconds(4));
    before.lease.Stop();
    store.AnswerAll();
  }
  Holder after(loop, clock, store, cloud, 2);
  cr_assert(after.lease.MayAct());
  // It started after the window's end and knows of it only from the record.
  after.reporter.StepIdle(kWall + milliseconds(5500));
  after.Step(store, kWall + milliseconds(5500));
  // A surviving node reports the same requests again; they are counted once.
  after.ledger.MergeNodeCounts(
      NodeId("b"), 4, {StartedCount{after.ledger.WindowOf(kWall), kAcme, 12}});
  after.Step(store, kWall + seconds(7));
  after.Step(store, kWall + milliseconds(7400));
  cr_assert(cloud.reports.size() == 1);
  cr_assert(cloud.reports[0].second.started.at(kAcme) == 13);
}

Test(usage_record, nothing_is_reported_before_the_record_is_read) {
  EventLoop loop;
  ManualClock clock;
  clock.Advance(seconds(100));
  FakeStore store;
  FakeCloud cloud;
  Holder holder(loop, clock, store, cloud, 1);
  store.PlanFaults({StoreFault::kAnswerLost});
  holder.record.Step(holder.own, 5);
  store.AnswerAll();
  cr_assert(!holder.record.IsRestored());
  holder.record.Step(holder.own, 5);
  store.AnswerAll();
  cr_assert(holder.record.IsRestored());
}

Test(usage_record, a_record_round_trips_and_truncated_bytes_are_rejected) {
  const std::vector<NodeUsage> usage = {
      NodeUsage{.source = {.node = NodeId("a"), .incarnation = 3},
                .counts = {StartedCount{7, kAcme, 2}}}};
  const std::string bytes = EncodeUsageRecord(usage);
  cr_assert(DecodeUsageRecord(bytes) == usage);
  for (size_t size = 0; size < bytes.size(); ++size) {
    cr_assert(!DecodeUsageRecord(bytes.substr(0, size)));
  }
}

Test(usage_record, any_names_and_numbers_of_counts_fit_into_the_store) {
  constexpr size_t kStoreBytes = size_t{1024} * 1024;
  for (const size_t counts : {0, 1, 1025, 70000}) {
    for (const size_t name_bytes : {1, 64, 65, 1024, 1025}) {
      std::vector<NodeUsage> usage(3);
      for (size_t i = 0; i < counts; ++i) {
        std::string name = std::to_string(i);
        name.resize(std::max(name.size(), name_bytes), 'x');
        usage[i % 3].counts.push_back(
            StartedCount{.window = 1,
                         .customer = CustomerName(name),
                         .started = static_cast<uint32_t>(i)});
      }
      const std::string bytes = EncodeUsageRecord(usage);
      cr_assert(bytes.size() * 4 / 3 < kStoreBytes, "%zu, %zu", counts,
                name_bytes);
      cr_assert(DecodeUsageRecord(bytes).has_value(), "%zu, %zu", counts,
                name_bytes);
    }
  }
}
