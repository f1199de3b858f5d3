#pragma once

#include <cstdint>
#include <string>

namespace pistachiowalk {

// Identifies one part of a prompt, whatever precedes it in the prompt.
enum class PromptPartId : uint64_t {};

// The id in hexadecimal, as callers send it.
std::string FormatPromptPart(PromptPartId part);

}  // namespace pistachiowalk
