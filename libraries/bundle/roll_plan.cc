#include "bundle/roll_plan.h"

#include <algorithm>
#include <charconv>

namespace pistachiowalk {
namespace {

constexpr char kSnapshotPrefix[] = "bundle/snapshot/";
// NOTE: Snapshot keys are reused in rotation, since values in the store are
// never deleted. Readers detect an overwritten snapshot by its hash.
constexpr unsigned kSnapshotSlots = 4;
// Deltas after a snapshot before a new one is written. As many from before the
// snapshot are kept, so that a watcher that is a few versions behind does not
// have to read the snapshot.
constexpr size_t kStepsPerSnapshot = 8;
constexpr size_t kMaximumStoredChainBytes = 8 * 1024;

std::string NextSnapshotKey(const std::string& key) {
  constexpr size_t kPrefixLength = sizeof kSnapshotPrefix - 1;
  unsigned slot = kSnapshotSlots - 1;
  if (key.starts_with(kSnapshotPrefix)) {
    std::from_chars(key.data() + kPrefixLength, key.data() + key.size(), slot);
  }
  return kSnapshotPrefix + std::to_string((slot + 1) % kSnapshotSlots);
}

size_t ChainBytes(const std::vector<VersionDelta>& chain) {
  size_t bytes = 0;
  for (const VersionDelta& delta : chain) {
    bytes += TextDeltaBytes(delta.edits);
  }
  return bytes;
}

// Number of deltas in the chain that follow its snapshot.
size_t StepsSinceSnapshot(const StoredBundle& bundle) {
  const auto first =
      std::find_if(bundle.chain.begin(), bundle.chain.end(),
                   [&bundle](const VersionDelta& step) {
                     return step.base_hash == bundle.snapshot_hash;
                   });
  return static_cast<size_t>(bundle.chain.end() - first);
}

void DropOldSteps(StoredBundle& bundle) {
  while (bundle.chain.size() > StepsSinceSnapshot(bundle) &&
         (bundle.chain.size() > 2 * kStepsPerSnapshot ||
          ChainBytes(bundle.chain) > kMaximumStoredChainBytes)) {
    bundle.chain.erase(bundle.chain.begin());
  }
}

}  // namespace

RollPlan PlanRoll(const StoredBundle& current,
                  const std::optional<std::string>& current_text,
                  BundleVersion version,
                  const SignedBundle& next) {
  RollPlan plan{.next = {.version = version, .signatures = next.signatures}};
  if (!current_text || next.text.size() < kMinimumDeltaBundleBytes) {
    plan.next.text = next.text;
    return plan;
  }
  const VersionDelta step{.base_hash = TextHash(*current_text),
                          .hash = TextHash(next.text),
                          .edits = MakeTextDelta(*current_text, next.text)};
  if (ChainBytes({step}) > kMaximumStoredChainBytes) {
    plan.next.text = next.text;
    return plan;
  }
  plan.next.chain = current.chain;
  plan.next.chain.push_back(step);
  plan.next.snapshot_key = current.snapshot_key;
  plan.next.snapshot_hash = current.snapshot_hash;
  const bool needs_snapshot =
      current.chain.empty() ||
      StepsSinceSnapshot(plan.next) > kStepsPerSnapshot ||
      ChainBytes(plan.next.chain) > 2 * kMaximumStoredChainBytes;
  if (needs_snapshot) {
    plan.next.snapshot_key = NextSnapshotKey(current.snapshot_key);
    plan.next.snapshot_hash = step.base_hash;
    plan.snapshot = RollPlan::Snapshot{plan.next.snapshot_key, *current_text};
  }
  DropOldSteps(plan.next);
  return plan;
}

}  // namespace pistachiowalk
