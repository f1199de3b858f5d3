#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"

namespace pistachiowalk {

// Outcome of a VM start.
enum class StartOutcome {
  kServing,
  kRefused,
  // Not serving within the time limit.
  kTooSlow,
  // Reclaimed before it served long enough to pay for its loading.
  kReclaimedEarly,
};

// Statistics on the starts of one class at one place.
struct StartRecord {
  // Moving average of the time from the request until the VM serves.
  Duration start_time = std::chrono::seconds(90);
  uint32_t consecutive_failures = 0;
  TimePoint retry_at{};
  // The reclaim rate is the ratio of these two, which decay together.
  double reclaims = 0.0;
  double served_hours = 0.0;

  friend auto operator<=>(const StartRecord&, const StartRecord&) = default;
};

// Keeps statistics on starts by place and class: which are refused, slow or
// reclaimed early. After a failure the place and class backs off for a growing
// time and then allows a single start as a probe.
class StartHistory {
 public:
  void NoteOutcome(const PlaceName& place,
                   const VmClassName& vm_class,
                   StartOutcome outcome,
                   Duration taken,
                   TimePoint now);
  void NoteServed(const PlaceName& place,
                  const VmClassName& vm_class,
                  Duration served);
  void NoteReclaim(const PlaceName& place, const VmClassName& vm_class);

  // Number of starts that may be pending at once: none during back-off, one as
  // a probe after it, and unlimited when there was no failure.
  uint32_t AllowedPendingStarts(const PlaceName& place,
                                const VmClassName& vm_class,
                                TimePoint now) const;
  Duration StartTime(const PlaceName& place, const VmClassName& vm_class) const;
  double ReclaimsPerHour(const PlaceName& place,
                         const VmClassName& vm_class) const;
  // The record of a place and class, or a default one when there is none.
  StartRecord RecordOf(const PlaceName& place,
                       const VmClassName& vm_class) const;

 private:
  using Key = std::pair<PlaceName, VmClassName>;

  std::map<Key, StartRecord> m_records;
};

}  // namespace pistachiowalk
