#include "duty/usage_reporter.h"

#include <algorithm>
#include <vector>

#include "duty/duty_lease.h"
#include "duty/fake_cloud.h"
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

// One node with its own ledger over a shared store and cloud.
struct Node {
  Node(EventLoop& loop,
       ManualClock& clock,
       FakeStore& store,
       FakeCloud& cloud,
       const std::string& name)
      : ledger(milliseconds(5000)),
        lease(loop,
              clock,
              store,
              "lease",
              name,
              LeaseTerms{},
              [] { return false; }),
        reporter(clock, store, cloud, lease, ledger, NodeId(name), "usage/") {}

  void TakeLease(EventLoop& loop, FakeStore& store) {
    lease.Start();
    store.AnswerAll();
    // The lease sends its next call at its next step.
    loop.Schedule(milliseconds(450), [&loop] { loop.Stop(); });
    loop.Run();
    store.AnswerAll();
  }

  UsageLedger ledger;
  DutyLease lease;
  UsageReporter reporter;
};

}  // namespace

Test(usage_reporter, a_window_is_reported_once_after_it_has_settled) {
  EventLoop loop;
  ManualClock clock;
  clock.Advance(seconds(100));
  FakeStore store;
  FakeCloud cloud;
  Node node(loop, clock, store, cloud, "a");
  node.TakeLease(loop, store);
  cr_assert(node.lease.MayAct());
  node.ledger.NoteStarted(kAcme, node.ledger.WindowOf(kWall));
  node.ledger.NoteStarted(kAcme, node.ledger.WindowOf(kWall));
  node.reporter.Step(kWall + seconds(1));
  node.reporter.Step(kWall + seconds(6));
  store.AnswerAll();
  cr_assert(cloud.reports.empty());
  node.reporter.Step(kWall + seconds(7));
  store.AnswerAll();
  node.reporter.Step(kWall + milliseconds(7400));
  node.reporter.Step(kWall + milliseconds(7800));
  cr_assert(cloud.reports.size() == 1);
  cr_assert(cloud.reports[0].second.started.at(kAcme) == 2);
}

Test(usage_reporter, retries_send_the_same_report_although_counts_changed) {
  EventLoop loop;
  ManualClock clock;
  clock.Advance(seconds(100));
  FakeStore store;
  FakeCloud cloud;
  cloud.statuses = {CloudStatus::kUnknown};
  Node node(loop, clock, store, cloud, "a");
  node.TakeLease(loop, store);
  const UsageWindow window = node.ledger.WindowOf(kWall);
  node.ledger.NoteStarted(kAcme, window);
  node.reporter.Step(kWall);
  node.reporter.Step(kWall + seconds(7));
  store.AnswerAll();
  node.reporter.Step(kWall + seconds(8));
  node.ledger.NoteStarted(kAcme, window);
  clock.Advance(milliseconds(800));
  node.reporter.Step(kWall + seconds(9));
  cr_assert(cloud.reports.size() == 2);
  cr_assert(cloud.reports[0].second == cloud.reports[1].second);
}

Test(usage_reporter, a_write_without_response_is_found_and_reported) {
  EventLoop loop;
  ManualClock clock;
  clock.Advance(seconds(100));
  FakeStore store;
  FakeCloud cloud;
  Node node(loop, clock, store, cloud, "a");
  node.TakeLease(loop, store);
  const UsageWindow window = node.ledger.WindowOf(kWall);
  node.ledger.NoteStarted(kAcme, window);
  node.reporter.Step(kWall);
  store.PlanFaults({StoreFault::kAnswerLost});
  node.reporter.Step(kWall + seconds(7));
  store.AnswerAll();
  node.ledger.NoteStarted(kAcme, window);
  clock.Advance(milliseconds(800));
  node.reporter.Step(kWall + seconds(8));
  store.AnswerAll();
  node.reporter.Step(kWall + seconds(9));
  cr_assert(cloud.reports.size() == 1);
  cr_assert(cloud.reports[0].second.started.at(kAcme) == 1);
}

Test(usage_reporter, a_new_holder_reports_what_the_previous_one_committed) {
  EventLoop loop;
  ManualClock clock;
  clock.Advance(seconds(100));
  FakeStore store;
  FakeCloud cloud;
  Node node(loop, clock, store, cloud, "b");
  const UsageWindow window = node.ledger.WindowOf(kWall);
  node.reporter.Step(kWall);
  // Committed by a holder that was killed before its call.
  store.Put("usage/" + std::to_string(window), "acme=7\n");
  node.TakeLease(loop, store);
  node.ledger.NoteStarted(kAcme, window);
  node.reporter.Step(kWall + seconds(7));
  store.AnswerAll();
  node.reporter.Step(kWall + seconds(8));
  cr_assert(cloud.reports.size() == 1);
  cr_assert(cloud.reports[0].second.started.at(kAcme) == 7);
}

Test(usage_reporter, a_superseded_holder_reports_no_more) {
  EventLoop loop;
  ManualClock clock;
  clock.Advance(seconds(100));
  FakeStore store;
  FakeCloud cloud;
  cloud.statuses = {CloudStatus::kSuperseded};
  Node node(loop, clock, store, cloud, "a");
  node.TakeLease(loop, store);
  node.ledger.NoteStarted(kAcme, node.ledger.WindowOf(kWall));
  node.reporter.Step(kWall);
  node.reporter.Step(kWall + seconds(7));
  store.AnswerAll();
  node.reporter.Step(kWall + seconds(8));
  cr_assert(!node.lease.MayAct());
  clock.Advance(seconds(2));
  node.reporter.Step(kWall + seconds(10));
  cr_assert(cloud.reports.size() == 1);
}

Test(usage_ledger, counts_of_a_node_outlive_it_and_its_restart) {
  UsageLedger ledger(milliseconds(5000));
  const UsageWindow window = ledger.WindowOf(kWall);
  ledger.MergeNodeCounts(NodeId("b"), 1,
                         {{.window = window, .customer = kAcme, .started = 5}});
  ledger.MergeNodeCounts(NodeId("b"), 1,
                         {{.window = window, .customer = kAcme, .started = 4}});
  ledger.MergeNodeCounts(NodeId("b"), 2,
                         {{.window = window, .customer = kAcme, .started = 2}});
  ledger.NoteStarted(kAcme, window);
  cr_assert(ledger.Total(window).at(kAcme) == 8);
  ledger.DropBefore(window + 1);
  cr_assert(ledger.Total(window).empty());
}

namespace {

// Two nodes over a store that is restored from a copy after the first one has
// reported a window.
struct RestoredDeployment {
  RestoredDeployment() {
    clock.Advance(kWall.time_since_epoch() + seconds(4));
    first.TakeLease(loop, store);
    store.KeepCopy();
    first.ledger.NoteStarted(kAcme, window);
    second.ledger.NoteStarted(kAcme, window);
    Advance(seconds(3));
    Step(first);
    Step(first);
    cr_assert(cloud.reports.size() == 1);
    // The counts of a node that has died are known to one node only.
    second.ledger.NoteStarted(kAcme, window);
  }

  void Advance(Duration time) { clock.Advance(time); }
  void Step(Node& node) {
    node.reporter.Step(clock.WallNow());
    store.AnswerAll();
  }
  void Restore(std::vector<Node*> nodes) {
    store.RestoreCopy();
    for (Node* node : nodes) {
      node->lease.NoteHistory(store.history());
      node->reporter.NoteRestored();
    }
  }
  // Lets the second node take the lease, as the first one has stopped.
  void TakeOver() {
    second.lease.Start();
    for (int step = 0; step < 12 && !second.lease.MayAct(); ++step) {
      Advance(seconds(1));
      store.AnswerAll();
      loop.Schedule(milliseconds(250), [this] { loop.Stop(); });
      loop.Run();
      store.AnswerAll();
    }
    cr_assert(second.lease.MayAct());
  }

  EventLoop loop;
  ManualClock clock;
  FakeStore store;
  FakeCloud cloud;
  Node first{loop, clock, store, cloud, "a"};
  Node second{loop, clock, store, cloud, "b"};
  UsageWindow window = first.ledger.WindowOf(kWall);
};

}  // namespace

Test(usage_reporter, a_window_whose_commit_was_lost_is_not_reported_otherwise) {
  RestoredDeployment test;
  test.first.lease.Stop();
  test.Restore({&test.second});
  test.TakeOver();
  for (int step = 0; step < 5; ++step) {
    test.Advance(milliseconds(400));
    test.Step(test.second);
  }
  for (const auto& [grant, report] : test.cloud.reports) {
    cr_assert(report.window != test.window ||
              report.started == test.cloud.reports[0].second.started);
  }
}

Test(usage_reporter, a_lost_commit_is_written_again_by_a_node_that_knows_it) {
  RestoredDeployment test;
  test.first.lease.Stop();
  test.Restore({&test.first, &test.second});
  test.first.reporter.StepIdle(test.clock.WallNow());
  test.store.AnswerAll();
  test.TakeOver();
  for (int step = 0; step < 5; ++step) {
    test.Advance(milliseconds(400));
    test.Step(test.second);
  }
  cr_assert(test.cloud.reports.size() == 2);
  cr_assert(test.cloud.reports[1].second == test.cloud.reports[0].second);
}

Test(usage_reporter, windows_after_a_restore_are_reported_by_the_new_holder) {
  RestoredDeployment test;
  test.first.lease.Stop();
  test.Restore({&test.second});
  test.TakeOver();
  const UsageWindow next =
      test.second.ledger.WindowOf(test.clock.WallNow()) + 1;
  test.second.ledger.NoteStarted(kAcme, next);
  for (int step = 0; step < 40; ++step) {
    test.Advance(milliseconds(400));
    test.Step(test.second);
    test.loop.Schedule(milliseconds(210), [&] { test.loop.Stop(); });
    test.loop.Run();
    test.store.AnswerAll();
  }
  cr_assert(std::any_of(
      test.cloud.reports.begin(), test.cloud.reports.end(),
      [&](const auto& sent) { return sent.second.window == next; }));
}
