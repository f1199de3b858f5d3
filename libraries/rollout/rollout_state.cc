#include "rollout/rollout_state.h"

#include <xxhash.h>

namespace pistachiowalk {

bool IsSameOrder(StorePosition a, StorePosition b) {
  return a.revision == b.revision;
}

uint64_t RolloutSalt(const ServiceName& service, StorePosition position) {
  return XXH3_64bits_withSeed(service.value().data(), service.value().size(),
                              position.revision);
}

}  // namespace pistachiowalk
