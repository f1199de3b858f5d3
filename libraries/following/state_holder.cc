#include "following/state_holder.h"

#include <algorithm>

namespace pistachiowalk {

std::optional<StateHolder> ChooseStateHolder(
    const std::vector<StateHolder>& holders,
    StoreRevision as_of) {
  const auto best = std::max_element(holders.begin(), holders.end());
  if (best == holders.end() || best->newest_change <= as_of) {
    return std::nullopt;
  }
  return *best;
}

}  // namespace pistachiowalk
