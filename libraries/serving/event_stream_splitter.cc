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
  m_incomplete_event += bytes;
  const size_t end = EndOfCompleteEvents(m_incomplete_event);
  std::string complete_events = m_incomplete_event.substr(0, end);
  m_incomplete_event.erase(0, end);
  RecordLastEventId(complete_events);
  return complete_events;
}

void EventStreamSplitter::RecordLastEventId(std::string_view events) {
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
