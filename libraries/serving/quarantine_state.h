#pragma once

#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"
#include "serving/crash_report.h"
#include "serving/quarantined_prompt.h"

namespace pistachiowalk {

// Limits on the lists of a state, against malicious datagrams.
constexpr size_t kMaximumCrashReports = 64;
constexpr size_t kMaximumQuarantinedPrompts = 64;

// What nodes tell each other of crashes. Merging is commutative and idempotent,
// so messages may be lost, repeated and reordered.
struct QuarantineState {
  std::vector<CrashReport> reports;
  std::vector<QuarantinedPrompt> prompts;

  bool is_empty() const { return reports.empty() && prompts.empty(); }

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveList(archive, reports, kMaximumCrashReports);
    ArchiveList(archive, prompts, kMaximumQuarantinedPrompts);
  }
  friend auto operator<=>(const QuarantineState&,
                          const QuarantineState&) = default;
};

// A state as of its sender's cluster time, since its ages count from there.
struct TimedQuarantineState {
  // Since 1970.
  int64_t wall_milliseconds = 0;
  QuarantineState state;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(wall_milliseconds, state);
  }
  friend auto operator<=>(const TimedQuarantineState&,
                          const TimedQuarantineState&) = default;
};

}  // namespace pistachiowalk
