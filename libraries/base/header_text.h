#pragma once

#include <algorithm>
#include <string_view>

namespace pistachiowalk {

// Whether a header can carry the text as its value: it is not empty and has no
// control characters.
inline bool IsHeaderText(std::string_view text) {
  constexpr char kDelete = 0x7f;
  return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
    return (c >= 0 && c < ' ') || c == kDelete;
  });
}

}  // namespace pistachiowalk
