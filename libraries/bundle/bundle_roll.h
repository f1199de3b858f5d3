#pragma once

#include <functional>
#include <string>

#include "bundle/bundle.h"
#include "bundle/signed_bundle.h"
#include "store/store_port.h"

namespace pistachiowalk {

// Key of the accepted bundle in the platform's store.
inline constexpr const char* kBundleStoreKey = "bundle/current";

enum class RollStatus {
  // The bundle is stored; every node will activate it.
  kAccepted,
  // The store has another bundle of this or a higher version.
  kLostRace,
  // The bundle was not written; this roll changed nothing.
  kUnavailable,
  // The write may have taken effect, and reading it back failed.
  kUnknown,
};

// Outcome of committing a bundle.
struct RollOutcome {
  RollStatus status = RollStatus::kUnavailable;
  // The version in the store, if it is known.
  BundleVersion standing_version = 0;

  friend auto operator<=>(const RollOutcome&, const RollOutcome&) = default;
};

// Commits a verified bundle with compare-and-swap. If the answer to the write
// is lost, the outcome is determined by reading, never by writing again.
void RollBundle(StorePort& store,
                BundleVersion version,
                const SignedBundle& bundle,
                std::function<void(const RollOutcome&)> callback);

}  // namespace pistachiowalk
