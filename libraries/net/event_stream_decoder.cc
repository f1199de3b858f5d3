#include "net/event_stream_decoder.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

std::string_view FieldValue(std::string_view line, size_t name_size) {
  std::string_view value = line.substr(name_size);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

}  // namespace

std::vector<StreamEvent> EventStreamDecoder::Decode(std::string_view bytes) {
  size_t start_of_run = 0;
  while (start_of_run < bytes.size()) {
    const size_t end_of_run =
        std::min(bytes.find('\r', start_of_run), bytes.size());
    m_pending.append(bytes, start_of_run, end_of_run - start_of_run);
    start_of_run = end_of_run + 1;
  }
  std::vector<StreamEvent> events;
  size_t start = 0;
  size_t end = m_pending.find("\n\n");
  while (end != std::string::npos) {
    StreamEvent event =
        DecodeEvent(std::string_view(m_pending).substr(start, end - start));
    if (!event.data.empty()) {
      events.push_back(std::move(event));
    }
    start = end + 2;
    end = m_pending.find("\n\n", start);
  }
  m_pending.erase(0, start);
  return events;
}

StreamEvent EventStreamDecoder::DecodeEvent(std::string_view block) {
  StreamEvent event;
  while (!block.empty()) {
    const size_t end = block.find('\n');
    const std::string_view line = block.substr(0, end);
    block.remove_prefix(end == std::string_view::npos ? block.size() : end + 1);
    if (line.starts_with("data:")) {
      if (!event.data.empty()) {
        event.data += '\n';
      }
      event.data += FieldValue(line, 5);
    } else if (line.starts_with("id:")) {
      event.id = std::string(FieldValue(line, 3));
    }
  }
  return event;
}

}  // namespace pistachiowalk
