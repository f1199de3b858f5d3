#pragma once

#include <chrono>

#include "base/clock.h"

namespace pistachiowalk {

// Timing of a lease, on which its holder and the waiting nodes agree.
struct LeaseTerms {
  // A renewal is valid for this long, from when it was sent.
  Duration term = std::chrono::seconds(6);
  Duration renew_interval = std::chrono::seconds(2);
  // Interval at which a waiting node reads the lease.
  Duration poll_interval = std::chrono::seconds(2);
  // The connection of an order is closed after this time, so that the order
  // cannot arrive later.
  Duration order_timeout = std::chrono::seconds(2);
  // A store call without an answer after this time counts as lost.
  Duration call_timeout = std::chrono::seconds(3);
  // Allowance for clock rates that differ, over one term.
  Duration drift = std::chrono::milliseconds(100);

  friend auto operator<=>(const LeaseTerms&, const LeaseTerms&) = default;
};

// How long a lease must stay unchanged before another node may take it over:
// the holder's safe time plus the time in which its last orders may arrive.
constexpr Duration TakeOverWait(const LeaseTerms& terms) {
  return terms.term + terms.order_timeout + terms.drift;
}

}  // namespace pistachiowalk
