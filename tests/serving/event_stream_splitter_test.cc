#include "serving/event_stream_splitter.h"

#include <string>

#include "support/criterion.h"

using namespace pistachiowalk;

Test(event_stream_splitter, only_complete_events_are_returned) {
  EventStreamSplitter splitter;
  cr_assert(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda") ==
            "id: 1\ndata: a\n\n");
  cr_assert(splitter.last_event_id() == "1");
  cr_assert(splitter.incomplete_event() == "id: 2\nda");
  cr_assert(splitter.Feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
  cr_assert(splitter.last_event_id() == "2");
  cr_assert(splitter.incomplete_event().empty());
}

Test(event_stream_splitter, an_incomplete_event_is_discarded_with_its_id) {
  EventStreamSplitter splitter;
  splitter.Feed("id:7\ndata: a\n\nid:8\ndata: hal");
  splitter.DiscardIncompleteEvent();
  cr_assert(splitter.last_event_id() == "7");
  cr_assert(splitter.Feed("id:8\ndata: half\n\n") == "id:8\ndata: half\n\n");
  cr_assert(splitter.last_event_id() == "8");
}

Test(event_stream_splitter, crlf_line_endings_are_accepted) {
  EventStreamSplitter splitter;
  cr_assert(splitter.Feed("id: 3\r\ndata: a\r\n\r\nx") ==
            "id: 3\r\ndata: a\r\n\r\n");
  cr_assert(splitter.last_event_id() == "3");
}

// The output must not depend on how the input is split, and nothing is lost.
Test(event_stream_splitter, chunks_of_any_size_give_the_same_events) {
  std::string stream;
  for (int i = 0; i < 50; ++i) {
    stream += "id: " + std::to_string(i) + "\ndata: text " +
              std::to_string(i * i) + "\n\n";
  }
  for (size_t size = 1; size < 40; ++size) {
    EventStreamSplitter splitter;
    std::string out;
    for (size_t at = 0; at < stream.size(); at += size) {
      out += splitter.Feed(stream.substr(at, size));
      cr_assert(out.empty() || out.ends_with("\n\n"));
    }
    cr_assert(out == stream);
    cr_assert(splitter.last_event_id() == "49");
    cr_assert(splitter.event_count() == 50);
  }
}

Test(event_stream_splitter, comments_are_not_counted_as_events) {
  EventStreamSplitter splitter;
  cr_assert(splitter.Feed(": ping\n\n: ping\r\n\r\n") ==
            ": ping\n\n: ping\r\n\r\n");
  cr_assert(splitter.event_count() == 0);
  splitter.Feed(": note\ndata: a\n\n");
  cr_assert(splitter.event_count() == 1);
}

// Guards against a stream that is resumed after another event than its last.
Test(event_stream_splitter, only_an_event_with_a_usable_id_can_be_resumed) {
  const auto can_resume = [](const std::string& events) {
    EventStreamSplitter splitter;
    splitter.Feed(events);
    return splitter.can_resume();
  };
  const std::string first = "id: 1\ndata: a\n\n";
  cr_assert(can_resume("") && can_resume(first));
  cr_assert(can_resume(first + ": ping\n\n") &&
            can_resume(first + "retry: 100\n\n") &&
            can_resume(first + "id: 2\nda"));
  cr_assert(can_resume("data: a\n\nid: 2\ndata: b\n\n"));
  cr_assert(!can_resume("data: a\n\n") && !can_resume("id\ndata: a\n\n") &&
            !can_resume("id: 1\ndata: a\n\nid:\ndata: b\n\n") &&
            !can_resume(first + "data: b\n\n"));
  cr_assert(!can_resume("id: 1\rX: 2\ndata: a\n\n") &&
            !can_resume("id: 1\x7f\ndata: a\n\n"));
  cr_assert(can_resume("id: " + std::string(1024, '1') + "\ndata: a\n\n"));
  cr_assert(!can_resume("id: " + std::string(1025, '1') + "\ndata: a\n\n"));
}

Test(event_stream_splitter, blank_lines_and_comments_are_no_part_of_an_event) {
  const auto is_inside = [](const std::string& rest) {
    EventStreamSplitter splitter;
    splitter.Feed("id: 1\ndata: a\n\n");
    splitter.Feed(rest);
    return splitter.is_inside_event();
  };
  for (const char* rest :
       {"", "\n", "\r\n", "\n\r\n\n", ": bye\n", ": bye\r\n\n: bye\n"}) {
    cr_assert(!is_inside(rest), "%s", rest);
  }
  for (const char* rest : {"i", ": by", "\nid: 2\n", "\n\ndata: b\n", "\rx"}) {
    cr_assert(is_inside(rest), "%s", rest);
  }
}
