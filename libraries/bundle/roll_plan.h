#pragma once

#include <optional>
#include <string>

#include "bundle/stored_bundle.h"

namespace pistachiowalk {

// Smaller bundles are always stored as complete text.
constexpr size_t kMinimumDeltaBundleBytes = 8 * 1024;

// The values that a roll writes: first the snapshot, if any, then the bundle.
struct RollPlan {
  struct Snapshot {
    std::string key;
    std::string text;

    friend auto operator<=>(const Snapshot&, const Snapshot&) = default;
  };

  std::optional<Snapshot> snapshot;
  StoredBundle next;

  friend auto operator<=>(const RollPlan&, const RollPlan&) = default;
};

// Plans how `next` replaces the `current` stored bundle: as a delta appended to
// its chain where possible. `current_text` is the text of `current`, or nullopt
// if it could not be read.
RollPlan PlanRoll(const StoredBundle& current,
                  const std::optional<std::string>& current_text,
                  BundleVersion version,
                  const SignedBundle& next);

}  // namespace pistachiowalk
