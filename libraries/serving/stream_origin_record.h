#pragma once

#include <cstddef>
#include <vector>

#include "base/bounded_codec.h"
#include "serving/stream_origin.h"

namespace pistachiowalk {

// Limit on the list of a record, against malformed ones.
constexpr size_t kMaximumRecordedStreams = 8192;

struct RecordedStream {
  StreamKey key;
  StreamOrigin origin;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, origin);
  }
  friend auto operator<=>(const RecordedStream&,
                          const RecordedStream&) = default;
};

// The streams of one node that callers may resume.
struct StreamOriginRecord {
  std::vector<RecordedStream> streams;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveList(archive, streams, kMaximumRecordedStreams);
  }
  friend auto operator<=>(const StreamOriginRecord&,
                          const StreamOriginRecord&) = default;
};

}  // namespace pistachiowalk
