#pragma once

#include <string>
#include <string_view>

namespace pistachiowalk {

// Returns the BLAKE2b-256 hash of a customer's bearer key in lower-case
// hexadecimal.
std::string HashCustomerKey(std::string_view key);

}  // namespace pistachiowalk
