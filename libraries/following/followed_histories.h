#pragma once

#include <cstdint>

#include "base/bounded_codec.h"
#include "base/ids.h"
#include "store/store_port.h"

namespace pistachiowalk {

// The histories of the store to which a node's copies of the followed prefixes
// belong, and the version of its config in force. Sent beside NodeDigest, which
// has their revisions, so that nodes of earlier builds still understand the
// digests.
//
// A digest and this message may arrive in either order. Until both have, the
// node's copies seem older or newer than they are; a snapshot names its own
// position, so this only delays or repeats a transfer.
struct FollowedHistories {
  NodeId node;
  // Increases with each start of the node.
  uint64_t incarnation = 0;
  StoreHistory config = 0;
  StoreHistory endpoints = 0;
  StoreHistory nodes = 0;
  // 0 if no config is in force.
  uint64_t config_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, node);
    archive(incarnation, config, endpoints, nodes, config_version);
  }
  // Orders the messages of one node by the time at which it sent them, as
  // neither a history nor the version decreases within an incarnation.
  friend auto operator<=>(const FollowedHistories&,
                          const FollowedHistories&) = default;
};

}  // namespace pistachiowalk
