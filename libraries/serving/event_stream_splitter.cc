#include "serving/event_stream_splitter.h"

#include <algorithm>

#include "base/header_text.h"

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

// Whether a request for the rest of the stream can name the id.
bool IsUsableId(std::string_view id) {
  constexpr size_t kMaximumIdBytes = 1024;
  return id.size() <= kMaximumIdBytes && IsHeaderText(id);
}

// Removes the first line and returns it without its end. A last line without an
// end counts as one.
std::string_view TakeLine(std::string_view& text) {
  const size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
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
  if (m_incomplete_event.empty()) {
    // NOTE: Releases the memory, which a long event may have made large.
    m_incomplete_event = {};
  }
  RecordEvents(complete_events);
  return complete_events;
}

bool EventStreamSplitter::is_inside_event() const {
  std::string_view rest = m_incomplete_event;
  while (!rest.empty()) {
    const bool is_whole_line = rest.find('\n') != std::string_view::npos;
    const std::string_view line = TakeLine(rest);
    if (!line.empty() && !(is_whole_line && line.starts_with(':'))) {
      return true;
    }
  }
  return false;
}

void EventStreamSplitter::RecordEvents(std::string_view events) {
  bool has_content = false;
  bool has_data = false;
  bool has_usable_id = false;
  while (!events.empty()) {
    std::string_view line = TakeLine(events);
    if (line.empty()) {
      m_event_count += has_content ? 1 : 0;
      m_can_resume = has_data ? has_usable_id : m_can_resume;
      has_content = has_data = has_usable_id = false;
      continue;
    }
    has_content |= !line.starts_with(':');
    has_data |= line.starts_with("data");
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      has_usable_id = IsUsableId(line);
      if (has_usable_id) {
        m_last_event_id = line;
      }
    }
  }
}

}  // namespace pistachiowalk
