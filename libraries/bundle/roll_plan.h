#pragma once

#include <optional>
#include <string>

#include "bundle/stored_bundle.h"

namespace pistachiowalk {

// Bundles below this size are stored whole.
constexpr size_t kMinimumDeltaBundleBytes = 8 * 1024;

// What a roll writes: first the snapshot, if there is one, then the bundle.
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

// Plans how `next` follows the `current` bundle, whose text is
// `current_text`, or nullopt when that could not be read.
RollPlan PlanRoll(const StoredBundle& current,
                  const std::optional<std::string>& current_text,
                  BundleVersion version,
                  const SignedBundle& next);

}  // namespace pistachiowalk
