#include "edge/load_meter.h"

#include <cmath>

namespace pistachiowalk {
namespace {

// Time in which past work fades to a third: short against the start time of a
// worker, so that a jump of the load is answered in time.
constexpr double kDecaySeconds = 4.0;

}  // namespace

void LoadMeter::Add(double amount, TimePoint now) {
  m_sum = Rate(now) * kDecaySeconds + amount;
  m_updated_at = now;
}

double LoadMeter::Rate(TimePoint now) const {
  const double age = std::chrono::duration<double>(now - m_updated_at).count();
  return m_sum * std::exp(-age / kDecaySeconds) / kDecaySeconds;
}

}  // namespace pistachiowalk
