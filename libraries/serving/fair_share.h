#pragma once

#include <map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace pistachiowalk {

// One customer among those that compete for a service's room.
struct CompetingCustomer {
  CustomerName customer;
  // Its part of the room when all want more: its limit's rate.
  double weight = 1.0;
  // What all nodes together have lately admitted of it, in the limit's unit.
  double usage = 0.0;
  // What it wanted, of which `usage` was admitted.
  double demand = 0.0;

  friend auto operator<=>(const CompetingCustomer&,
                          const CompetingCustomer&) = default;
};

// Splits the room that the customers have together used by weighted max-min
// fairness: those that want less than their part get what they want, and the
// rest is split among the others. Returns each customer's share, in the order
// of `customers`.
std::vector<double> FairShares(const std::vector<CompetingCustomer>& customers);

// How far a customer is from its fair share, from -1, at twice the share or
// more, over 0, at the share, to 1, at half of it or less.
double ShareLean(double usage, double share);

// What a node knows of the customers that compete, and when their competition
// counts: only while services are short of room, that is while requests are
// refused for the work ahead of them.
//
// Each node estimates what a customer wants from the requests that reach it,
// and takes what all nodes have admitted from their reports, so that no node
// counts for all. Reports may be some seconds old.
//
// This covers a customer that sends many times its usual load, though within
// its limit, while others send as usual.
class CustomerCompetition {
 public:
  // A node's request of a customer was admitted, or refused for the work ahead
  // of it.
  void Record(const ServiceName& service,
              const CustomerName& customer,
              double amount,
              bool is_admitted,
              TimePoint now);
  // Whether requests of the service were refused of late.
  bool IsShort(const ServiceName& service, TimePoint now) const;
  bool IsAnyShort(TimePoint now) const;
  // Sets what the customers have used; `demand` is computed from what this node
  // has refused of each.
  void SetUsage(std::vector<CompetingCustomer> customers, TimePoint now);
  // The lowest lean, and whose it is.
  std::pair<CustomerName, double> Lowest() const;
  // The customer's lean at a service; 0 while there is room, and for a customer
  // that is not known.
  double Lean(const ServiceName& service,
              const CustomerName& customer,
              TimePoint now) const;

 private:
  // Amounts that decay with time.
  struct Recent {
    double admitted = 0.0;
    double refused = 0.0;
    TimePoint updated_at{};

    Recent At(TimePoint now) const;
  };

  std::map<ServiceName, TimePoint> m_short_until;
  std::map<CustomerName, Recent> m_customers;
  std::map<CustomerName, double> m_leans;
};

}  // namespace pistachiowalk
