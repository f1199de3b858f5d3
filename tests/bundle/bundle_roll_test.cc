#include "bundle/bundle_roll.h"

#include "bundle/sample_bundle.h"
#include "support/criterion.h"
#include "support/fake_store.h"

using namespace pistachiowalk;
using pistachiowalk::testing::FakeStore;
using pistachiowalk::testing::SampleBundle;
using pistachiowalk::testing::StoreFault;

namespace {

SignedBundle BundleOf(int version) {
  return {SampleBundle(version), {{SigningKeyId("ops"), "00"}}};
}

RollOutcome Roll(FakeStore& store, int version) {
  RollOutcome outcome;
  RollBundle(store, static_cast<BundleVersion>(version), BundleOf(version),
             [&](const RollOutcome& result) { outcome = result; });
  store.AnswerAll();
  return outcome;
}

struct RollCase {
  const char* name;
  int stored_version;
  std::deque<StoreFault> faults;
  RollStatus expected;
  uint64_t expected_writes;
};

}  // namespace

Test(bundle_roll, handles_store_faults) {
  const RollCase cases[] = {
      {"first", 0, {}, RollStatus::kAccepted, 1},
      {"higher", 4, {}, RollStatus::kAccepted, 1},
      {"same version, other content", 5, {}, RollStatus::kLostRace, 0},
      {"lower", 9, {}, RollStatus::kLostRace, 0},
      {"read fails",
       0,
       {StoreFault::kUnavailable},
       RollStatus::kUnavailable,
       0},
      {"write refused",
       0,
       {StoreFault::kNone, StoreFault::kUnavailable},
       RollStatus::kUnavailable,
       1},
      {"answer lost",
       4,
       {StoreFault::kNone, StoreFault::kAnswerLost},
       RollStatus::kAccepted,
       1},
      {"write lost",
       4,
       {StoreFault::kNone, StoreFault::kCallLost},
       RollStatus::kLostRace,
       1},
      {"answer and read back lost",
       4,
       {StoreFault::kNone, StoreFault::kAnswerLost, StoreFault::kUnavailable},
       RollStatus::kUnknown,
       1},
  };
  for (const RollCase& item : cases) {
    FakeStore store;
    if (item.stored_version > 0) {
      SignedBundle stored = BundleOf(item.stored_version);
      stored.text += "; another operator\n";
      store.Put(kBundleStoreKey, SerializeSignedBundle(stored));
    }
    store.PlanFaults(item.faults);
    const RollOutcome outcome = Roll(store, 5);
    cr_assert(outcome.status == item.expected, "%s", item.name);
    cr_assert(store.writes() == item.expected_writes, "%s", item.name);
  }
}

Test(bundle_roll, one_of_two_racing_rolls_is_accepted) {
  FakeStore store;
  RollOutcome first;
  RollOutcome second;
  SignedBundle other = BundleOf(1);
  other.text += "; other\n";
  RollBundle(store, 1, BundleOf(1), [&](const auto& r) { first = r; });
  RollBundle(store, 1, other, [&](const auto& r) { second = r; });
  store.AnswerAll();
  cr_assert(first.status == RollStatus::kAccepted);
  cr_assert(second.status == RollStatus::kLostRace);
  cr_assert(second.standing_version == 1);
}

Test(bundle_roll, repeating_a_roll_after_a_lost_answer_writes_nothing) {
  FakeStore store;
  store.PlanFaults(
      {StoreFault::kNone, StoreFault::kAnswerLost, StoreFault::kUnavailable});
  cr_assert(Roll(store, 1).status == RollStatus::kUnknown);
  cr_assert(Roll(store, 1).status == RollStatus::kAccepted);
  cr_assert(store.writes() == 1);
}
