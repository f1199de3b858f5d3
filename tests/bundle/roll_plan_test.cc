#include "bundle/roll_plan.h"

#include <optional>

#include "bundle/accepted_bundle.h"
#include "bundle/bundle_roll.h"
#include "bundle/sample_bundle.h"
#include "support/criterion.h"
#include "support/fake_store.h"

using namespace pistachiowalk;
using pistachiowalk::testing::FakeStore;
using pistachiowalk::testing::SampleBundle;
using pistachiowalk::testing::StoreFault;

namespace {

// A valid bundle that is large enough to be stored as a delta chain.
SignedBundle LargeBundle(int version) {
  std::string text = SampleBundle(version);
  for (int i = 0; i < 200; ++i) {
    text += "; a comment that only makes the bundle larger, line " +
            std::to_string(i == version % 200 ? -version : i) + "\n";
  }
  return {text, {{SigningKeyId("ops"), "00"}}};
}

RollOutcome Roll(FakeStore& store, int version) {
  RollOutcome outcome;
  RollBundle(store, static_cast<BundleVersion>(version), LargeBundle(version),
             [&](const RollOutcome& result) { outcome = result; });
  store.AnswerAll();
  return outcome;
}

std::optional<std::string> ReadText(FakeStore& store) {
  std::optional<std::string> text;
  ReadAcceptedBundle(
      store, [&](const AcceptedBundle& accepted) { text = accepted.text; });
  store.AnswerAll();
  return text;
}

}  // namespace

Test(roll_plan, every_version_of_a_sequence_of_rolls_is_readable) {
  FakeStore store;
  for (int version = 1; version <= 40; ++version) {
    cr_assert(Roll(store, version).status == RollStatus::kAccepted);
    cr_assert(ReadText(store) == LargeBundle(version).text, "%d", version);
    if (version > 1) {
      cr_assert(store.ValueAt(kBundleStoreKey).size() < 8 * 1024);
    }
  }
  cr_assert(Roll(store, 39).status == RollStatus::kLostRace);
}

Test(roll_plan, the_next_roll_recovers_from_an_overwritten_snapshot) {
  FakeStore store;
  Roll(store, 1);
  Roll(store, 2);
  store.Put("bundle/snapshot/0", "overwritten");
  cr_assert(!ReadText(store));
  cr_assert(Roll(store, 3).status == RollStatus::kAccepted);
  cr_assert(ReadText(store) == LargeBundle(3).text);
}

Test(roll_plan, handles_store_faults_while_writing_a_snapshot) {
  struct Case {
    const char* name;
    std::deque<StoreFault> faults;
    RollStatus expected;
  };
  constexpr StoreFault kNone = StoreFault::kNone;
  const Case cases[] = {
      {"slot unread",
       {kNone, StoreFault::kUnavailable},
       RollStatus::kUnavailable},
      {"snapshot refused",
       {kNone, kNone, StoreFault::kUnavailable},
       RollStatus::kUnavailable},
      {"snapshot's answer lost",
       {kNone, kNone, StoreFault::kAnswerLost},
       RollStatus::kUnavailable},
      {"bundle refused",
       {kNone, kNone, kNone, StoreFault::kUnavailable},
       RollStatus::kUnavailable},
      {"bundle's answer lost",
       {kNone, kNone, kNone, StoreFault::kAnswerLost},
       RollStatus::kAccepted},
      {"bundle's call lost",
       {kNone, kNone, kNone, StoreFault::kCallLost},
       RollStatus::kLostRace},
  };
  for (const Case& item : cases) {
    FakeStore store;
    Roll(store, 1);
    store.PlanFaults(item.faults);
    cr_assert(Roll(store, 2).status == item.expected, "%s", item.name);
    store.PlanFaults({});
    cr_assert(Roll(store, 2).status == RollStatus::kAccepted, "%s", item.name);
  }
}

Test(stored_bundle, malformed_chains_are_rejected) {
  const char* texts[] = {
      "", "[]", R"({"chain":[]})", R"({"chain":1,"version":1})",
      R"({"version":1,"snapshot":"s","snapshot_hash":"0","signatures":[],
          "chain_base":"0","chain":[{"hash":"1","edits":[[0,-1,"x"]]}]})"};
  for (const char* text : texts) {
    cr_assert(!ParseStoredBundle(text), "%s", text);
  }
}
