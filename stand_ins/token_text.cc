#include "token_text.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace pistachiowalk::stand_in {

std::string TokenText(std::string_view prompt, uint64_t index) {
  constexpr uint64_t kTokenMask = 0xffff;
  const uint64_t hash = XXH64(prompt.data(), prompt.size(), index);
  return fmt::format(" {}:{:04x}", index, hash & kTokenMask);
}

}  // namespace pistachiowalk::stand_in
