#pragma once

#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"
#include "base/ids.h"
#include "rollout/rollout_state.h"

namespace pistachiowalk {

constexpr size_t kMaximumAnnouncedRollouts = 200;

// What the holder of the duty lease tells all nodes: the states of the
// roll-outs. A node that has heard none for a while cannot know whether a
// target was condemned.
struct RolloutAnnouncement {
  // Of the holder.
  DataCenterName data_center;
  // Of the holder's grant, and its number under this grant; a later one is in
  // force.
  uint64_t fence = 0;
  uint64_t sequence = 0;
  std::vector<RolloutState> states;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, data_center);
    archive(fence, sequence);
    ArchiveList(archive, states, kMaximumAnnouncedRollouts);
  }
  friend auto operator<=>(const RolloutAnnouncement&,
                          const RolloutAnnouncement&) = default;
};

}  // namespace pistachiowalk
