#include "serving/prompt_part.h"

#include <fmt/format.h>

namespace pistachiowalk {

std::string FormatPromptPart(PromptPartId part) {
  return fmt::format("{:x}", static_cast<uint64_t>(part));
}

std::string FormatPromptParts(const std::vector<PromptPartId>& parts) {
  std::string text;
  for (const PromptPartId part : parts) {
    if (!text.empty()) {
      text += ',';
    }
    text += FormatPromptPart(part);
  }
  return text;
}

}  // namespace pistachiowalk
