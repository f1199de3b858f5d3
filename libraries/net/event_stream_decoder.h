#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowalk {

// One event of a text/event-stream (server-sent events).
struct StreamEvent {
  // Value of the event's last `id:` line, if it has one.
  std::optional<std::string> id;
  std::string data;

  friend auto operator<=>(const StreamEvent&, const StreamEvent&) = default;
};

// Incremental decoder for text/event-stream.
class EventStreamDecoder {
 public:
  // Returns the events completed by `bytes`, in order.
  std::vector<StreamEvent> Decode(std::string_view bytes);
  // Number of buffered bytes of an incomplete event.
  size_t PendingBytes() const { return m_pending.size(); }

 private:
  static StreamEvent DecodeEvent(std::string_view block);

  std::string m_pending;
};

}  // namespace pistachiowalk
