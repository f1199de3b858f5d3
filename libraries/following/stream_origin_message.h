#pragma once

#include <cstdint>
#include <optional>

#include "base/bounded_codec.h"
#include "serving/stream_origin.h"

namespace pistachiowalk {

// Asks a node for a stream's origin.
struct StreamOriginQuery {
  StreamKey key;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key);
  }
  friend auto operator<=>(const StreamOriginQuery&,
                          const StreamOriginQuery&) = default;
};

// Tells a node a stream's origin, for it to keep or as the answer to a query.
struct StreamOriginReport {
  StreamKey key;
  // As an answer only: the sender does not know the stream.
  bool is_unknown = false;
  StreamOrigin origin;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, is_unknown, origin);
  }
  friend auto operator<=>(const StreamOriginReport&,
                          const StreamOriginReport&) = default;
};

}  // namespace pistachiowalk
