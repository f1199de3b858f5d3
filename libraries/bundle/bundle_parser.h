#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "bundle/bundle.h"
#include "bundle/bundle_fault.h"

namespace pistachiowalk {

// Result of parsing a bundle's text: a bundle, or all faults found.
struct BundleParseOutcome {
  std::optional<Bundle> bundle;
  std::vector<BundleFault> faults;
};

// Parses and validates the INI text of a bundle of schema 1
// (docs/operators/bundle.md). `bundle` is set only if there are no faults.
BundleParseOutcome ParseBundle(std::string_view text);

}  // namespace pistachiowalk
