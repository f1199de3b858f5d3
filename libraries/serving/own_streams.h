#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/clock.h"
#include "serving/stream_origin_record.h"

namespace pistachiowalk {

// The streams that this node passes on, and those that broke off at it and that
// callers may resume. Does no I/O.
class OwnStreams {
 public:
  void NoteBegun(StreamKey key, const StreamOrigin& origin);
  // A stream that ended before its last event may be resumed.
  void NoteEnded(StreamKey key, bool is_complete, TimePoint now);
  // Adds what this node recorded before it was started again.
  void Restore(const StreamOriginRecord& recorded, TimePoint now);
  // Drops streams that broke off more than `lifetime` ago.
  void Step(Duration lifetime, TimePoint now);

  // The streams of services for which `is_needed` returns true.
  StreamOriginRecord Record(
      const std::function<bool(const ServiceName&)>& is_needed) const;
  // Incremented with each stream that is added.
  uint64_t revision() const { return m_revision; }

 private:
  struct Stream {
    StreamOrigin origin;
    // Unset while the stream is open.
    std::optional<TimePoint> broken_at;
  };

  std::map<StreamKey, Stream> m_streams;
  uint64_t m_revision = 0;
};

}  // namespace pistachiowalk
