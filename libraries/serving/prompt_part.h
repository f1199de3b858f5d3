#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pistachiowalk {

// Identifies one part of a prompt, whatever precedes it in the prompt.
enum class PromptPartId : uint64_t {};

template <class Archive>
void ArchivePromptPart(Archive& archive, PromptPartId& part) {
  auto coded = static_cast<uint64_t>(part);
  archive(coded);
  part = PromptPartId{coded};
}

// The id in hexadecimal, as callers send it.
std::string FormatPromptPart(PromptPartId part);
// The ids, separated by commas.
std::string FormatPromptParts(const std::vector<PromptPartId>& parts);

}  // namespace pistachiowalk
