#pragma once

#include <cstdint>

#include "base/text_delta.h"

namespace pistachiowalk {

// The platform's store holds values of up to 1 MB.
constexpr size_t kMaximumBundleTextBytes = 1024 * 1024;

// The delta from one version's text to a later one's.
struct VersionDelta {
  uint64_t base_hash = 0;
  // Hash of the resulting text.
  uint64_t hash = 0;
  TextDelta edits;

  friend auto operator<=>(const VersionDelta&, const VersionDelta&) = default;
};

// Applies the deltas of the chain that follow the text `base`, wherever in the
// chain it occurs. Returns nullopt if the chain has no delta from `base`, a
// delta cannot be applied or the result does not match the chain's last hash.
std::optional<std::string> ApplyChain(std::string_view base,
                                      uint64_t base_hash,
                                      const std::vector<VersionDelta>& chain);

}  // namespace pistachiowalk
