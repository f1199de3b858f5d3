#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"

namespace pistachiowalk {

// A node's part in the requests to one limited worker.
struct LimitSender {
  bool may_send = false;
  // Nodes that may send, among which the limit is split evenly.
  uint32_t senders = 1;

  friend auto operator<=>(const LimitSender&, const LimitSender&) = default;
};

// Decides whether `self` is among the nodes that may send requests to `worker`,
// which takes `requests_per_second` from all nodes together. `nodes` are the
// candidates, in any order; all nodes that know the same ones decide alike
// without telling each other.
//
// Few nodes send to a worker with a low limit: of a limit split over all nodes
// of a large deployment each would have less than one request in many seconds,
// and the first requests of all nodes alone would exceed it.
LimitSender ChooseLimitSender(uint64_t worker,
                              double requests_per_second,
                              const NodeId& self,
                              const std::vector<NodeId>& nodes);

}  // namespace pistachiowalk
