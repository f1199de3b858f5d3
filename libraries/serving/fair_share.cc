#include "serving/fair_share.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pistachiowalk {
namespace {

// Time in which what was recorded falls to 1/e: several times the reports'
// usual age, and short against a limit's window.
constexpr double kMemorySeconds = 3.0;
// A service is short of room for this long after a request was refused for the
// work ahead of it: a node with few requests rarely sees that otherwise.
constexpr Duration kShortTime = std::chrono::seconds(10);
// Bound of the factor from what was admitted to what was wanted, as a node that
// sees few requests of a customer may have refused them all.
constexpr double kMaximumDemandFactor = 8.0;
// Customers without requests for this long are forgotten.
constexpr Duration kForgetTime = std::chrono::seconds(60);

}  // namespace

std::vector<double> FairShares(
    const std::vector<CompetingCustomer>& customers) {
  std::vector<double> shares(customers.size(), 0.0);
  std::vector<size_t> order(customers.size());
  std::iota(order.begin(), order.end(), size_t{0});
  double room = 0.0;
  double weight = 0.0;
  for (const CompetingCustomer& customer : customers) {
    room += customer.usage;
    weight += customer.weight;
  }
  const auto level_of = [&](size_t i) {
    return customers[i].demand / customers[i].weight;
  };
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return level_of(a) < level_of(b); });
  for (const size_t i : order) {
    const CompetingCustomer& customer = customers[i];
    shares[i] = std::min(customer.demand, room * customer.weight / weight);
    room -= shares[i];
    weight -= customer.weight;
  }
  return shares;
}

double ShareLean(double usage, double share) {
  if (share <= 0.0) {
    return usage > 0.0 ? -1.0 : 0.0;
  }
  return std::clamp(-std::log2(std::max(usage / share, 0.5)), -1.0, 1.0);
}

CustomerCompetition::Recent CustomerCompetition::Recent::At(
    TimePoint now) const {
  const double kept =
      std::exp(-std::chrono::duration<double>(now - updated_at).count() /
               kMemorySeconds);
  return Recent{.admitted = admitted * kept,
                .refused = refused * kept,
                .updated_at = now};
}

void CustomerCompetition::Record(const ServiceName& service,
                                 const CustomerName& customer,
                                 double amount,
                                 bool is_admitted,
                                 TimePoint now) {
  Recent& recent = m_customers[customer];
  recent = recent.At(now);
  (is_admitted ? recent.admitted : recent.refused) += amount;
  if (!is_admitted) {
    m_short_until[service] = now + kShortTime;
  }
}

bool CustomerCompetition::IsShort(const ServiceName& service,
                                  TimePoint now) const {
  const auto known = m_short_until.find(service);
  return known != m_short_until.end() && now < known->second;
}

bool CustomerCompetition::IsAnyShort(TimePoint now) const {
  return std::any_of(
      m_short_until.begin(), m_short_until.end(),
      [&](const auto& service) { return IsShort(service.first, now); });
}

void CustomerCompetition::SetUsage(std::vector<CompetingCustomer> customers,
                                   TimePoint now) {
  std::erase_if(m_customers, [&](const auto& entry) {
    return now - entry.second.updated_at > kForgetTime;
  });
  for (CompetingCustomer& customer : customers) {
    customer.demand = customer.usage;
    const auto known = m_customers.find(customer.customer);
    if (known == m_customers.end() || known->second.refused <= 0.0) {
      continue;
    }
    const Recent& recent = known->second;
    customer.demand *=
        std::min(kMaximumDemandFactor,
                 1.0 + recent.refused / std::max(recent.admitted, 1e-9));
  }
  const std::vector<double> shares = FairShares(customers);
  m_leans.clear();
  for (size_t i = 0; i < customers.size(); ++i) {
    m_leans[customers[i].customer] = ShareLean(customers[i].usage, shares[i]);
  }
}

std::pair<CustomerName, double> CustomerCompetition::Lowest() const {
  const auto lowest = std::min_element(
      m_leans.begin(), m_leans.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return lowest == m_leans.end() ? std::pair(CustomerName(), 0.0)
                                 : std::pair(lowest->first, lowest->second);
}

double CustomerCompetition::Lean(const ServiceName& service,
                                 const CustomerName& customer,
                                 TimePoint now) const {
  const auto known = m_leans.find(customer);
  return known == m_leans.end() || !IsShort(service, now) ? 0.0 : known->second;
}

}  // namespace pistachiowalk
