#include "base/text_delta.h"

#include <xxhash.h>

#include <algorithm>
#include <unordered_map>

namespace pistachiowalk {
namespace {

constexpr size_t kEditBytes = 12;

// Splits `text` after each end of a line or of a JSON object.
std::vector<std::string_view> SplitPieces(std::string_view text) {
  std::vector<std::string_view> pieces;
  while (!text.empty()) {
    const size_t end = text.find_first_of("\n}");
    const size_t length = end == std::string_view::npos ? text.size() : end + 1;
    pieces.push_back(text.substr(0, length));
    text.remove_prefix(length);
  }
  return pieces;
}

using PieceIndex = std::unordered_map<std::string_view, std::vector<uint32_t>>;

PieceIndex IndexPieces(std::string_view base) {
  PieceIndex index;
  uint32_t offset = 0;
  for (const std::string_view piece : SplitPieces(base)) {
    index[piece].push_back(offset);
    offset += static_cast<uint32_t>(piece.size());
  }
  return index;
}

// Returns the offset in `base` from which to copy `piece`: `position`, the end
// of the previous copy, if the piece occurs there; otherwise its next
// occurrence after it, or else its first.
std::optional<uint32_t> FindPiece(const PieceIndex& index,
                                  std::string_view base,
                                  std::string_view piece,
                                  uint32_t position) {
  if (base.substr(std::min<size_t>(position, base.size()), piece.size()) ==
      piece) {
    return position;
  }
  const auto it = index.find(piece);
  if (it == index.end()) {
    return std::nullopt;
  }
  const auto next =
      std::lower_bound(it->second.begin(), it->second.end(), position);
  return next == it->second.end() ? it->second.front() : *next;
}

}  // namespace

TextDelta MakeTextDelta(std::string_view base, std::string_view target) {
  const PieceIndex index = IndexPieces(base);
  TextDelta delta;
  // End of the last copied range, where the next piece is expected.
  uint32_t position = 0;
  for (const std::string_view piece : SplitPieces(target)) {
    const auto found = FindPiece(index, base, piece, position);
    if (!found) {
      if (delta.empty()) {
        delta.emplace_back();
      }
      delta.back().inserted += piece;
      continue;
    }
    const auto length = static_cast<uint32_t>(piece.size());
    const bool continues = !delta.empty() && delta.back().inserted.empty() &&
                           delta.back().copy_length > 0 && *found == position;
    if (continues) {
      delta.back().copy_length += length;
    } else {
      delta.push_back(TextEdit{*found, length, ""});
    }
    position = *found + length;
  }
  return delta;
}

std::optional<std::string> ApplyTextDelta(std::string_view base,
                                          const TextDelta& delta,
                                          size_t maximum_bytes) {
  std::string text;
  for (const TextEdit& edit : delta) {
    const bool is_inside = edit.copy_offset <= base.size() &&
                           edit.copy_length <= base.size() - edit.copy_offset;
    const size_t added = size_t{edit.copy_length} + edit.inserted.size();
    if (!is_inside || added > maximum_bytes - text.size()) {
      return std::nullopt;
    }
    text += base.substr(edit.copy_offset, edit.copy_length);
    text += edit.inserted;
  }
  return text;
}

size_t TextDeltaBytes(const TextDelta& delta) {
  size_t bytes = 0;
  for (const TextEdit& edit : delta) {
    bytes += kEditBytes + edit.inserted.size();
  }
  return bytes;
}

uint64_t TextHash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace pistachiowalk
