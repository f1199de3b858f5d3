#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/clock.h"
#include "membership/node_envelope.h"

namespace pistachiowalk {

// Tells messages that were taken in before by their sequence numbers. Late
// and out of order ones pass while they are within a window.
class ReplayFilter {
 public:
  // Whether the message is new; it is remembered then.
  bool Accept(const NodeEnvelope& envelope, TimePoint now);
  size_t senders() const { return m_senders.size(); }

 private:
  struct Window {
    uint64_t incarnation = 0;
    uint64_t highest = 0;
    // Bit n: `highest` - n was taken in.
    uint64_t seen = 0;
    TimePoint last_received_at;
  };

  void RemoveExpiredSenders(TimePoint now);

  std::unordered_map<NodeId, Window> m_senders;
};

}  // namespace pistachiowalk
