#pragma once

#include <cstdint>
#include <string>

namespace pistachiowalk {

// A valid bundle of `customers` customers at `version`; `changed` is the
// customer whose limit the version changed.
std::string MeasuredBundleText(uint64_t version,
                               size_t customers,
                               size_t changed);

// Cost of verifying and parsing one such bundle at a node, measured by running
// the real checks.
struct BundleCheckCost {
  double cpu_seconds = 0.0;
  // Heap of the parsed bundle.
  double parsed_bytes = 0.0;
};
BundleCheckCost MeasureBundleCheck(size_t customers);

}  // namespace pistachiowalk
