#include "edge/load_meter.h"

#include <cmath>

namespace pistachiowalk {
namespace {

// Time in which past work fades to a third: short against the start time of a
// worker, so that a jump of the load is answered in time.
constexpr double kMemorySeconds = 4.0;

}  // namespace

void LoadMeter::Add(double amount, TimePoint now) {
  m_sum = Rate(now) * kMemorySeconds + amount;
  m_at = now;
}

double LoadMeter::Rate(TimePoint now) const {
  const double age = std::chrono::duration<double>(now - m_at).count();
  return m_sum * std::exp(-age / kMemorySeconds) / kMemorySeconds;
}

}  // namespace pistachiowalk
