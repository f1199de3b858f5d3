#include "bundle/customer_key.h"

#include <sodium.h>

#include <array>

namespace pistachiowalk {

std::string HashCustomerKey(std::string_view key) {
  std::array<unsigned char, crypto_generichash_BYTES> digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), nullptr, 0);
  std::string hex(digest.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  hex.pop_back();
  return hex;
}

}  // namespace pistachiowalk
