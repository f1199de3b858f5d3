#pragma once

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace pistachiowalk {

// Admits transfers of snapshots to peers while the node's link can carry them
// soon. Many nodes may ask the same peer at once; a few transfers that end make
// more nodes a source than many that share the link.
class TransferAdmission {
 public:
  // `link_megabits` is the node's bandwidth in Mbit/s, 0 if unknown.
  explicit TransferAdmission(uint32_t link_megabits);

  // Whether a transfer of `bytes` may begin. Short ones always may.
  bool Admit(size_t bytes, TimePoint now);

 private:
  double m_bytes_per_second;
  // When the transfers admitted so far have left the link.
  TimePoint m_busy_until{};
};

}  // namespace pistachiowalk
