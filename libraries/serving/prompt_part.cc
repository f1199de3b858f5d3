#include "serving/prompt_part.h"

#include <fmt/format.h>

namespace pistachiowalk {

std::string FormatPromptPart(PromptPartId part) {
  return fmt::format("{:x}", static_cast<uint64_t>(part));
}

}  // namespace pistachiowalk
