#pragma once

#include <cstdint>
#include <string>

#include "store/store_port.h"

namespace pistachiowalk {

// A call to the platform's store that the caller is asked to make. The answer
// is matched to the call by its number.
struct StoreCall {
  enum class Kind { kRead, kWrite };

  Kind kind = Kind::kRead;
  uint64_t number = 0;
  std::string key;
  // For kWrite: the expected revision and the new value of the
  // compare-and-swap.
  StoreRevision expected = 0;
  std::string value;

  friend auto operator<=>(const StoreCall&, const StoreCall&) = default;
};

}  // namespace pistachiowalk
