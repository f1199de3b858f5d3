#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "base/event_log.h"
#include "gateway/gateway.h"
#include "gateway/gateway_log_events.h"

// Part of Gateway: the fair shares of customers that compete for room.
namespace pistachiowalk {
namespace {

// Interval at which the shares are computed, and its increase per customer and
// peer, whose reports are summed.
constexpr Duration kShareInterval = std::chrono::milliseconds(250);
constexpr Duration kShareIntervalPerReport = std::chrono::microseconds(20);

}  // namespace

void Gateway::StepCompetition() {
  const TimePoint now = m_ports.clock.Now();
  const bool competes = m_settings.shares_room_fairly &&
                        m_edge.config != nullptr &&
                        m_edge.competition.IsAnyShort(now);
  if (!competes && m_was_competing) {
    m_was_competing = false;
    m_edge.competition.SetUsage({}, now);
    LogEvent(gateway_log::kCompetitionEnded, {});
  }
  const auto reports = static_cast<int64_t>(
      competes ? m_edge.config->customers.size() * (m_peers.peers().size() + 1)
               : 0);
  if (!competes ||
      now - m_competition_updated_at <
          std::max(kShareInterval, kShareIntervalPerReport * reports)) {
    return;
  }
  m_competition_updated_at = now;
  std::vector<CompetingCustomer> customers;
  double limited_rate = 0.0;
  double limited = 0.0;
  for (const auto& [name, spec] : m_edge.config->customers) {
    const double usage = m_limits.TotalUsage(name, now).Total();
    if (usage > 0.0) {
      customers.push_back(CompetingCustomer{
          .customer = name, .weight = spec.rate_per_second, .usage = usage});
    }
    if (spec.rate_per_second > 0.0) {
      limited_rate += spec.rate_per_second;
      limited += 1.0;
    }
  }
  for (CompetingCustomer& customer : customers) {
    if (customer.weight <= 0.0) {
      // A customer without a limit counts like the mean of the others.
      customer.weight = limited > 0.0 ? limited_rate / limited : 1.0;
    }
  }
  m_edge.competition.SetUsage(std::move(customers), now);
  if (!m_was_competing) {
    m_was_competing = true;
    const auto [customer, lean] = m_edge.competition.Lowest();
    LogEvent(gateway_log::kCompetition,
             {{"customer", customer.value()},
              {"use", fmt::format("{:.2f}", std::exp2(-lean))}});
  }
}

}  // namespace pistachiowalk
