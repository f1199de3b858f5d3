#pragma once

#include <string>
#include <string_view>

namespace pistachiowalk {

// Splits the bytes of an event stream after whole events, so that an answer
// that breaks off within one can go on at another endpoint.
class EventStreamSplitter {
 public:
  // Takes in bytes and returns those of the events that are now whole.
  std::string Feed(std::string_view bytes);
  // Bytes of an event that is not whole.
  const std::string& incomplete_event() const { return m_incomplete_event; }
  void DiscardIncompleteEvent() { m_incomplete_event.clear(); }
  // Id of the last whole event, or "".
  const std::string& last_event_id() const { return m_last_event_id; }

 private:
  void RecordLastEventId(std::string_view events);

  std::string m_incomplete_event;
  std::string m_last_event_id;
};

}  // namespace pistachiowalk
