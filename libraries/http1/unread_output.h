#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace pistachiowalk {

// How far a client has read what is sent to it. Takes counts of bytes that
// arrived at the client since the connection was accepted.
struct OutputProgress {
  // When the count was last seen to have grown by as much as a steady client
  // reads, and by as much as any client must read.
  TimePoint steady_at{};
  uint64_t steady_bytes = 0;
  TimePoint progress_at{};
  uint64_t progress_bytes = 0;

  friend bool operator==(const OutputProgress&,
                         const OutputProgress&) = default;
};

OutputProgress BeginOutputProgress(uint64_t arrived_bytes, TimePoint now);
OutputProgress NoteArrived(OutputProgress progress,
                           uint64_t arrived_bytes,
                           TimePoint now);

// A connection whose client has not read all responses.
struct UnreadOutput {
  size_t held_bytes = 0;
  // Since the client last read as much as a steady client does.
  Duration stalled{};

  friend bool operator==(const UnreadOutput&, const UnreadOutput&) = default;
};

// Chooses the connections that are closed so that `excess_bytes` become free.
// Returns their indices.
//
// Load: clients that send requests ahead and leave the responses unread, beside
// others that read steadily on a narrow link. Those that stalled longest give
// way first; among those that stalled equally long, those that hold most.
std::vector<size_t> ChooseConnectionsToGiveWay(
    const std::vector<UnreadOutput>& outputs,
    size_t excess_bytes);

}  // namespace pistachiowalk
