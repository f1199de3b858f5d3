#pragma once

#include <chrono>

#include "base/clock.h"

namespace pistachiowalk {

// Times by which a lease's holder and those who wait for it agree.
struct LeaseTerms {
  // A renewal is worth this long, from when it was sent.
  Duration term = std::chrono::seconds(6);
  Duration renew_interval = std::chrono::seconds(2);
  // Pause between a waiting node's looks at the lease.
  Duration poll_interval = std::chrono::seconds(2);
  // An order that has not arrived by then never does: its connection is
  // closed.
  Duration order_timeout = std::chrono::seconds(2);
  // A store call without an answer by then is taken as lost.
  Duration call_timeout = std::chrono::seconds(3);
  // Allowance for clocks that run at different rates, over one term.
  Duration drift = std::chrono::milliseconds(100);

  friend auto operator<=>(const LeaseTerms&, const LeaseTerms&) = default;
};

// How long a lease must stand unchanged before another node may take it: the
// holder's safe time and the time in which its last orders may arrive.
constexpr Duration TakeOverWait(const LeaseTerms& terms) {
  return terms.term + terms.order_timeout + terms.drift;
}

}  // namespace pistachiowalk
