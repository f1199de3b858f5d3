#include "daemon/prompt_blocks.h"

#include <xxhash.h>

#include <boost/json.hpp>
#include <string>

namespace pistachiowalk {
namespace {

// Approximate bytes of text per token.
constexpr size_t kBytesPerToken = 4;

}  // namespace

std::vector<PrefixBlock> ReadPromptBlocks(std::string_view chat_body) {
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(chat_body, error);
  const auto* object = error ? nullptr : document.if_object();
  const auto* messages = object ? object->if_contains("messages") : nullptr;
  std::vector<PrefixBlock> blocks;
  if (messages == nullptr || !messages->is_array()) {
    return blocks;
  }
  uint64_t hash = 0;
  for (const boost::json::value& message : messages->get_array()) {
    const std::string text = boost::json::serialize(message);
    // The previous hash is the seed, so equal hashes imply equal prefixes.
    hash = XXH64(text.data(), text.size(), hash);
    blocks.push_back(PrefixBlock{
        .hash = hash,
        .tokens = static_cast<uint32_t>(1 + text.size() / kBytesPerToken)});
  }
  return blocks;
}

}  // namespace pistachiowalk
