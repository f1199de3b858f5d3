#include "serving/event_cutter.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// The end of the last whole event in `bytes`: an empty line, whichever line
// ends the stream uses.
size_t EndOfWholeEvents(std::string_view bytes) {
  const size_t plain = bytes.rfind("\n\n");
  const size_t with_return = bytes.rfind("\n\r\n");
  size_t end = 0;
  if (plain != std::string_view::npos) {
    end = plain + 2;
  }
  if (with_return != std::string_view::npos) {
    end = std::max(end, with_return + 3);
  }
  return end;
}

}  // namespace

std::string EventCutter::Feed(std::string_view bytes) {
  m_rest += bytes;
  const size_t end = EndOfWholeEvents(m_rest);
  std::string whole = m_rest.substr(0, end);
  m_rest.erase(0, end);
  NoteId(whole);
  return whole;
}

void EventCutter::NoteId(std::string_view events) {
  size_t line = 0;
  while (line < events.size()) {
    size_t end = events.find('\n', line);
    end = end == std::string_view::npos ? events.size() : end;
    std::string_view text = events.substr(line, end - line);
    if (text.ends_with('\r')) {
      text.remove_suffix(1);
    }
    if (text.starts_with("id:")) {
      text.remove_prefix(3);
      if (text.starts_with(' ')) {
        text.remove_prefix(1);
      }
      m_last_event_id = text;
    }
    line = end + 1;
  }
}

}  // namespace pistachiowalk
