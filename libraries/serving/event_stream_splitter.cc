#include "serving/event_stream_splitter.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

// Returns the end of the last complete event in `bytes`: the end of an empty
// line, with LF or CRLF line endings.
size_t EndOfCompleteEvents(std::string_view bytes) {
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

std::string EventStreamSplitter::Feed(std::string_view bytes) {
  // The earlier bytes contain no empty line, but may end within one.
  constexpr size_t kLongestLineEnd = 3;
  const size_t searched = m_incomplete_event.size() -
                          std::min(m_incomplete_event.size(), kLongestLineEnd);
  m_incomplete_event += bytes;
  const size_t found = EndOfCompleteEvents(
      std::string_view(m_incomplete_event).substr(searched));
  const size_t end = found == 0 ? 0 : searched + found;
  std::string complete_events = m_incomplete_event.substr(0, end);
  m_incomplete_event.erase(0, end);
  RecordEvents(complete_events);
  return complete_events;
}

void EventStreamSplitter::RecordEvents(std::string_view events) {
  size_t line = 0;
  bool has_content = false;
  while (line < events.size()) {
    size_t end = events.find('\n', line);
    end = end == std::string_view::npos ? events.size() : end;
    std::string_view text = events.substr(line, end - line);
    if (text.ends_with('\r')) {
      text.remove_suffix(1);
    }
    if (text.empty()) {
      m_event_count += has_content ? 1 : 0;
      has_content = false;
    } else {
      has_content |= !text.starts_with(':');
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
