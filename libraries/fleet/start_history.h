#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"

namespace pistachiowalk {

// How the start of a VM ended.
enum class StartOutcome {
  kServing,
  kRefused,
  // Not serving when its time was up.
  kTooSlow,
  // Reclaimed before it had paid for its loading.
  kReclaimedEarly,
};

// What starts of one class at one place have taught.
struct StartRecord {
  // Moving average of the time until a VM served.
  Duration start_time = std::chrono::seconds(90);
  uint32_t consecutive_failures = 0;
  TimePoint retry_at{};
  // Reclaims and time served, decayed together, give the reclaim rate.
  double reclaims = 0.0;
  double served_hours = 0.0;

  friend auto operator<=>(const StartRecord&, const StartRecord&) = default;
};

// Learns from starts by place and class: which are refused, slow or reclaimed
// at birth. After a failure a place and class backs off, ever longer, and then
// takes a single start as a probe.
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

  // Starts that may be pending at once: none in back-off, one as a probe
  // after it.
  uint32_t AllowedPendingStarts(const PlaceName& place,
                                const VmClassName& vm_class,
                                TimePoint now) const;
  Duration StartTime(const PlaceName& place, const VmClassName& vm_class) const;
  double ReclaimsPerHour(const PlaceName& place,
                         const VmClassName& vm_class) const;
  // The record of a place and class; a fresh one when nothing is known.
  StartRecord RecordOf(const PlaceName& place,
                       const VmClassName& vm_class) const;

 private:
  using Key = std::pair<PlaceName, VmClassName>;

  std::map<Key, StartRecord> m_records;
};

}  // namespace pistachiowalk
