#pragma once

#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"
#include "serving/prompt_part.h"

namespace pistachiowalk {

// Limits on the lists below, against malicious datagrams and callers.
constexpr size_t kMaximumSuspectParts = 32;
constexpr size_t kMaximumCrashReports = 64;
constexpr size_t kMaximumQuarantinedPrompts = 64;

template <class Archive>
void ArchivePromptPart(Archive& archive, PromptPartId& part) {
  auto coded = static_cast<uint64_t>(part);
  archive(coded);
  part = PromptPartId{coded};
}

// A prompt part of a request under which a worker ended.
struct SuspectPart {
  PromptPartId part{};
  // Some node saw a response to a prompt with this part begin in the time
  // before the crash.
  bool was_sound = false;
  // A response to a prompt with this part began in an attempt that was sent
  // after the crash, so this part was not its cause.
  bool is_refuted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchivePromptPart(archive, part);
    archive(was_sound, is_refuted);
  }
  friend auto operator<=>(const SuspectPart&, const SuspectPart&) = default;
};

// A worker that ended while it was about to begin the response to a request.
struct CrashReport {
  // Random, so that nodes recognize a report that reaches them repeatedly.
  uint64_t id = 0;
  // Hash of the worker's address.
  uint64_t worker = 0;
  uint32_t age_ms = 0;
  std::vector<SuspectPart> parts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, worker, age_ms);
    ArchiveList(archive, parts, kMaximumSuspectParts);
  }
  friend auto operator<=>(const CrashReport&, const CrashReport&) = default;
};

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

}  // namespace pistachiowalk
