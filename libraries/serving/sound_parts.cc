#include "serving/sound_parts.h"

#include <utility>

namespace pistachiowalk {
namespace {

// A generation ends after this time, or once it has this many parts.
constexpr Duration kGenerationLifetime = std::chrono::seconds(30);
constexpr size_t kMaximumGenerationParts = 4096;

}  // namespace

void SoundParts::Add(const std::vector<PromptPartId>& parts, TimePoint now) {
  if (now - m_rotated_at >= kGenerationLifetime ||
      m_recent.size() >= kMaximumGenerationParts) {
    m_earlier = std::exchange(m_recent, {});
    m_rotated_at = now;
  }
  m_recent.insert(parts.begin(), parts.end());
}

}  // namespace pistachiowalk
