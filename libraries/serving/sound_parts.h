#pragma once

#include <unordered_set>
#include <vector>

#include "base/clock.h"
#include "serving/prompt_part.h"

namespace pistachiowalk {

// The prompt parts of responses that began recently on this node. Two
// generations bound its memory whatever callers send: a part is forgotten after
// one to two lifetimes without a response, or earlier if there are very many.
class SoundParts {
 public:
  explicit SoundParts(TimePoint now) : m_rotated_at(now) {}

  void Add(const std::vector<PromptPartId>& parts, TimePoint now);
  bool Contains(PromptPartId part) const {
    return m_recent.contains(part) || m_earlier.contains(part);
  }
  size_t size() const { return m_recent.size() + m_earlier.size(); }

 private:
  std::unordered_set<PromptPartId> m_recent;
  std::unordered_set<PromptPartId> m_earlier;
  TimePoint m_rotated_at;
};

}  // namespace pistachiowalk
