#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiowalk::stand_in {

// The token that the stand-in engine generates at `index` for a prompt. A
// function of both, so that any part of an answer can be checked.
std::string TokenText(std::string_view prompt, uint64_t index);

}  // namespace pistachiowalk::stand_in
