#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "base/clock.h"
#include "serving/stream_origin.h"

namespace pistachiowalk {

// The origins of streams that this node has begun, or keeps for other nodes.
// Does no I/O.
class StreamOrigins {
 public:
  // Origins are forgotten after this time. It only grows, as a stream may have
  // begun under an earlier config.
  void ExtendLifetime(Duration lifetime) {
    m_lifetime = std::max(m_lifetime, lifetime);
  }
  // Records that the stream has begun, or goes on, at `origin`. A stream that
  // is recorded with two origins has none.
  void Record(StreamKey key, const StreamOrigin& origin, TimePoint now);
  std::optional<StreamOrigin> Find(StreamKey key, TimePoint now) const;
  // Drops expired origins; must be called periodically.
  void Step(TimePoint now);
  Duration lifetime() const { return m_lifetime; }
  size_t size() const { return m_origins.size(); }

 private:
  struct Entry {
    std::optional<StreamOrigin> origin;
    TimePoint recorded_at{};
  };
  struct Recorded {
    StreamKey key;
    TimePoint at{};
  };

  void Forget(const Recorded& recorded);

  Duration m_lifetime = std::chrono::seconds(15);
  std::map<StreamKey, Entry> m_origins;
  // In the order of the records.
  std::deque<Recorded> m_order;
};

}  // namespace pistachiowalk
