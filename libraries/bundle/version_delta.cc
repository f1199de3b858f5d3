#include "bundle/version_delta.h"

#include <algorithm>

namespace pistachiowalk {

std::optional<std::string> ApplyChain(std::string_view base,
                                      uint64_t base_hash,
                                      const std::vector<VersionDelta>& chain) {
  auto step = std::find_if(chain.begin(), chain.end(),
                           [base_hash](const VersionDelta& delta) {
                             return delta.base_hash == base_hash;
                           });
  if (step == chain.end()) {
    return std::nullopt;
  }
  std::string text(base);
  for (; step != chain.end(); ++step) {
    std::optional<std::string> next =
        ApplyTextDelta(text, step->edits, kMaximumBundleTextBytes);
    if (!next) {
      return std::nullopt;
    }
    text = std::move(*next);
  }
  if (TextHash(text) != chain.back().hash) {
    return std::nullopt;
  }
  return text;
}

}  // namespace pistachiowalk
