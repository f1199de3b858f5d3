#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/clock.h"
#include "membership/node_envelope.h"

namespace pistachiowalk {

// Detects replayed messages by their sequence numbers. Late and out-of-order
// messages are accepted while they are within a sliding window.
class ReplayFilter {
 public:
  // Returns whether the message is new, and records it if so.
  bool Accept(const NodeEnvelope& envelope, TimePoint now);
  size_t senders() const { return m_senders.size(); }

 private:
  struct Window {
    uint64_t incarnation = 0;
    uint64_t highest = 0;
    // Bit n is set if sequence number `highest` - n was received.
    uint64_t seen = 0;
    TimePoint last_received_at;
  };

  void RemoveExpiredSenders(TimePoint now);

  std::unordered_map<NodeId, Window> m_senders;
};

}  // namespace pistachiowalk
