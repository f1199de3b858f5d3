#include "edge/load_meter.h"

#include <cmath>

namespace pistachiowalk {
namespace {

// Time constant of the decay: short compared to the start time of a worker, so
// that workers are ordered in time after a sudden rise of the load.
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
