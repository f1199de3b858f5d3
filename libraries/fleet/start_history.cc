#include "fleet/start_history.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace pistachiowalk {
namespace {

constexpr Duration kInitialBackOff = std::chrono::seconds(30);
constexpr Duration kMaximumBackOff = std::chrono::minutes(20);
constexpr uint32_t kMaximumDoublings = 6;
// Weight of the latest start in the moving average.
constexpr double kNewestWeight = 0.3;
// Hours of service after which the reclaims and the hours are halved.
constexpr double kDecayThresholdHours = 200.0;
// Prior for the reclaim rate: one reclaim in this many hours.
constexpr double kPriorHours = 24.0;

Duration BackOffAfter(uint32_t failures) {
  const uint32_t doublings = std::min(failures - 1, kMaximumDoublings);
  return std::min(kInitialBackOff * (int64_t{1} << doublings), kMaximumBackOff);
}

}  // namespace

void StartHistory::NoteOutcome(const PlaceName& place,
                               const VmClassName& vm_class,
                               StartOutcome outcome,
                               Duration taken,
                               TimePoint now) {
  StartRecord& record = m_records[Key(place, vm_class)];
  // NOTE: An overdue start counts in the average only once it serves. Otherwise
  // the first overdue start of a slow batch would raise the limit for the rest.
  if (outcome == StartOutcome::kServing) {
    record.start_time = std::chrono::duration_cast<Duration>(
        record.start_time * (1.0 - kNewestWeight) + taken * kNewestWeight);
    record.consecutive_failures = 0;
    return;
  }
  // NOTE: Starts requested together tend to fail together, so they count as one
  // failure.
  if (record.consecutive_failures > 0 && now < record.retry_at) {
    return;
  }
  ++record.consecutive_failures;
  record.retry_at = now + BackOffAfter(record.consecutive_failures);
}

void StartHistory::NoteServed(const PlaceName& place,
                              const VmClassName& vm_class,
                              Duration served) {
  StartRecord& record = m_records[Key(place, vm_class)];
  record.served_hours +=
      std::chrono::duration<double, std::ratio<3600>>(served).count();
  if (record.served_hours > kDecayThresholdHours) {
    record.served_hours /= 2;
    record.reclaims /= 2;
  }
}

void StartHistory::NoteReclaim(const PlaceName& place,
                               const VmClassName& vm_class) {
  m_records[Key(place, vm_class)].reclaims += 1.0;
}

uint32_t StartHistory::AllowedPendingStarts(const PlaceName& place,
                                            const VmClassName& vm_class,
                                            TimePoint now) const {
  const StartRecord record = RecordOf(place, vm_class);
  if (record.consecutive_failures == 0) {
    return std::numeric_limits<uint32_t>::max();
  }
  return now < record.retry_at ? 0 : 1;
}

Duration StartHistory::StartTime(const PlaceName& place,
                                 const VmClassName& vm_class) const {
  return RecordOf(place, vm_class).start_time;
}

double StartHistory::ReclaimsPerHour(const PlaceName& place,
                                     const VmClassName& vm_class) const {
  const StartRecord record = RecordOf(place, vm_class);
  return (record.reclaims + 1.0) / (record.served_hours + kPriorHours);
}

StartRecord StartHistory::RecordOf(const PlaceName& place,
                                   const VmClassName& vm_class) const {
  const auto it = m_records.find(Key(place, vm_class));
  return it == m_records.end() ? StartRecord{} : it->second;
}

}  // namespace pistachiowalk
