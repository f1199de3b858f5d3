#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowalk {

// One edit of a delta: copies a range of the base, then inserts new bytes.
struct TextEdit {
  uint32_t copy_offset = 0;
  uint32_t copy_length = 0;
  std::string inserted;

  friend auto operator<=>(const TextEdit&, const TextEdit&) = default;
};

using TextDelta = std::vector<TextEdit>;

// Computes the edits that build `target` from `base`, by line or, as JSON often
// has no lines, by object.
TextDelta MakeTextDelta(std::string_view base, std::string_view target);
// Returns nullopt if an edit reaches outside `base` or the text gets longer
// than `maximum_bytes`.
std::optional<std::string> ApplyTextDelta(std::string_view base,
                                          const TextDelta& delta,
                                          size_t maximum_bytes);
// Approximate size of a delta, in bytes.
size_t TextDeltaBytes(const TextDelta& delta);
// Non-cryptographic hash that tells versions of a text apart.
uint64_t TextHash(std::string_view text);

}  // namespace pistachiowalk
