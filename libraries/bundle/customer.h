#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace pistachiowalk {

// A customer with its credential and its limits, which apply across all entry
// nodes.
struct Customer {
  CustomerName name;
  // BLAKE2b-256 hash of the customer's bearer key, in lower-case hexadecimal
  // (see HashCustomerKey).
  std::string key_hash;
  double requests_per_second = 0.0;
  double tokens_per_second = 0.0;
  // Relative share among customers of the same priority under overload.
  double weight = 1.0;

  friend auto operator<=>(const Customer&, const Customer&) = default;
};

}  // namespace pistachiowalk
