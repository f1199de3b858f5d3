#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiowalk {

// Splits a server-sent event stream after complete events, so that a response
// that is cut off within an event can be resumed at another endpoint.
class EventStreamSplitter {
 public:
  // Appends bytes and returns the events that are now complete.
  std::string Feed(std::string_view bytes);
  // The bytes received of the next event, which is not complete.
  const std::string& incomplete_event() const { return m_incomplete_event; }
  void DiscardIncompleteEvent() { m_incomplete_event = {}; }
  // Whether those bytes are part of an event, and not only blank lines and
  // comments, which may follow the last one.
  bool is_inside_event() const;
  // Id of the last complete event that has one, or "".
  const std::string& last_event_id() const { return m_last_event_id; }
  // Whether the stream can be resumed after the last complete event with data:
  // there is none, or it has an id that a header can carry.
  bool can_resume() const { return m_can_resume; }
  // Number of complete events so far, without those that are only comments.
  uint64_t event_count() const { return m_event_count; }

 private:
  void RecordEvents(std::string_view events);

  std::string m_incomplete_event;
  std::string m_last_event_id;
  uint64_t m_event_count = 0;
  bool m_can_resume = true;
};

}  // namespace pistachiowalk
