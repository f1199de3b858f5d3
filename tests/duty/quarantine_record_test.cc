#include "duty/quarantine_record.h"

#include <vector>

#include "support/fake_store.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

const std::string kKey = "quarantine";

TimedQuarantineState MakeState(uint64_t report) {
  return TimedQuarantineState{
      .wall_milliseconds = 1700000000123,
      .state = {
          .reports = {CrashReport{
              .id = report,
              .worker = 7,
              .age_ms = 20,
              .parts = {SuspectPart{.part = PromptPartId{0xdead},
                                    .was_sound = true}}}},
          .prompts = {QuarantinedPrompt{
              .parts = {PromptPartId{0xdead}}, .version = 1, .probes = 2}}}};
}

// A record and what it merged.
struct Node {
  explicit Node(FakeStore& store)
      : record(store, kKey, [this](const TimedQuarantineState& state) {
          merged.push_back(state);
        }) {}

  std::vector<TimedQuarantineState> merged;
  QuarantineRecord record;
};

}  // namespace

Test(quarantine_record, what_is_written_is_restored) {
  FakeStore store;
  Node writer(store);
  writer.record.Restore();
  store.AnswerAll();
  writer.record.Write(MakeState(1), 1);
  store.AnswerAll();
  Node reader(store);
  reader.record.Restore();
  store.AnswerAll();
  cr_assert(writer.merged.empty());
  cr_assert(reader.merged == std::vector{MakeState(1)});
}

// Guards against a new holder that overwrites what it has not read.
Test(quarantine_record,
     what_another_node_wrote_is_merged_before_it_is_replaced) {
  FakeStore store;
  Node first(store);
  Node second(store);
  first.record.Restore();
  second.record.Write(MakeState(9), 1);
  cr_assert(store.writes() == 0);
  second.record.Restore();
  store.AnswerAll();
  first.record.Write(MakeState(1), 1);
  store.AnswerAll();
  second.record.Write(MakeState(2), 1);
  store.AnswerAll();
  cr_assert(second.merged == std::vector{MakeState(1)});
  second.record.Write(MakeState(3), 2);
  store.AnswerAll();
  Node reader(store);
  reader.record.Restore();
  store.AnswerAll();
  cr_assert(reader.merged == std::vector{MakeState(3)});
}

Test(quarantine_record, an_unchanged_state_is_written_once) {
  FakeStore store;
  Node node(store);
  node.record.Restore();
  store.AnswerAll();
  for (int i = 0; i < 3; ++i) {
    node.record.Write(MakeState(1), 5);
    store.AnswerAll();
  }
  cr_assert(store.writes() == 1);
}

Test(quarantine_record, a_lost_answer_does_not_stop_later_writes) {
  FakeStore store;
  Node node(store);
  node.record.Restore();
  store.AnswerAll();
  store.PlanFaults({StoreFault::kAnswerLost, StoreFault::kUnavailable});
  for (int i = 0; i < 4; ++i) {
    node.record.Write(MakeState(1), 5);
    store.AnswerAll();
  }
  Node reader(store);
  reader.record.Restore();
  store.AnswerAll();
  cr_assert(reader.merged == std::vector{MakeState(1)});
}

// Guards against a record that ends each process which reads it.
Test(quarantine_record, a_malformed_record_is_ignored) {
  FakeStore store;
  for (const std::string& value :
       {std::string("x"), std::string(1000, '\xff')}) {
    store.Put(kKey, value);
    Node node(store);
    node.record.Restore();
    store.AnswerAll();
    cr_assert(node.merged.empty() && node.record.is_restored());
  }
}

Test(quarantine_record, a_record_that_a_restore_lost_is_written_again) {
  FakeStore store;
  Node node(store);
  node.record.Restore();
  store.AnswerAll();
  node.record.Write(MakeState(1), 5);
  store.RestoreCopy();
  // The answer to the write before the restore arrives after it.
  node.record.NoteStoreRestored();
  store.AnswerAll();
  store.RestoreCopy();
  node.record.NoteStoreRestored();
  node.record.Restore();
  store.AnswerAll();
  node.record.Write(MakeState(1), 5);
  store.AnswerAll();
  Node reader(store);
  reader.record.Restore();
  store.AnswerAll();
  cr_assert(reader.merged == std::vector{MakeState(1)});
}
