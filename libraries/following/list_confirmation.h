#pragma once

#include <cstdint>

#include "base/bounded_codec.h"
#include "base/ids.h"
#include "store/store_port.h"

namespace pistachiowalk {

// When a node's list of endpoints was last known to be complete. Sent beside
// NodeDigest, so that nodes of earlier builds still understand the digests.
struct ListConfirmation {
  NodeId node;
  // A node that has applied all changes up to this position has the whole list;
  // see PrefixFollower::covering_position().
  StoreHistory history = 0;
  StoreRevision revision = 0;
  // Time since the store last confirmed the list, to this node or to another.
  uint32_t age_milliseconds = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, node);
    archive(history, revision, age_milliseconds);
  }
  friend auto operator<=>(const ListConfirmation&,
                          const ListConfirmation&) = default;
};

}  // namespace pistachiowalk
