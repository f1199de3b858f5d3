#pragma once

#include <string_view>
#include <vector>

#include "routing/prefix_index.h"

namespace pistachiowalk {

// Returns one block per message of a chat request, for matching prompt
// prefixes. Returns no blocks if the body is not a chat request.
std::vector<PrefixBlock> ReadPromptBlocks(std::string_view chat_body);

}  // namespace pistachiowalk
