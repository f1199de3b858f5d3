#pragma once

#include <compare>
#include <cstdint>

#include "base/bounded_codec.h"
#include "base/ids.h"

namespace pistachiowalk {

// Identifies a stream by the caller's attempt that brought its first event.
struct StreamKey {
  uint64_t value = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
  friend auto operator<=>(const StreamKey&, const StreamKey&) = default;
};

StreamKey KeyOfStream(const RequestId& first_attempt);

// Which workers began a stream. What two versions write does not fit together,
// so only workers of the same version can continue it.
struct StreamOrigin {
  ServiceName service;
  SoftwareVersion version;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, service);
    ArchiveName(archive, version);
  }
  friend auto operator<=>(const StreamOrigin&, const StreamOrigin&) = default;
};

}  // namespace pistachiowalk
