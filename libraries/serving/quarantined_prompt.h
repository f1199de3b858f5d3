#pragma once

#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"
#include "serving/crash_report.h"

namespace pistachiowalk {

// A set of prompt parts; requests that contain all of them are refused.
struct QuarantinedPrompt {
  // In ascending order.
  std::vector<PromptPartId> parts;
  // Increases with each change; the quarantine is in force if it is odd.
  uint32_t version = 0;
  // Requests that were sent in spite of the quarantine, to test the parts.
  uint32_t probes = 0;
  // Time since the last change of the version.
  uint32_t age_ms = 0;

  bool is_in_force() const { return version % 2 == 1; }

  template <class Archive>
  void serialize(Archive& archive) {
    parts.resize(ArchiveLength(archive, parts.size(), kMaximumSuspectParts));
    for (PromptPartId& part : parts) {
      ArchivePromptPart(archive, part);
    }
    archive(version, probes, age_ms);
  }
  friend auto operator<=>(const QuarantinedPrompt&,
                          const QuarantinedPrompt&) = default;
};

}  // namespace pistachiowalk
