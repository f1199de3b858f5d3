#pragma once

#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"
#include "serving/suspect_part.h"

namespace pistachiowalk {

// Limit on the parts of one report, against malicious callers and datagrams.
constexpr size_t kMaximumSuspectParts = 32;

// A worker that ended while it was about to begin the response to a request, or
// while the request was merely open.
struct CrashReport {
  // Random, so that nodes recognize a report that reaches them repeatedly.
  uint64_t id = 0;
  // Hash of the worker's address.
  uint64_t worker = 0;
  uint32_t age_ms = 0;
  // The request's fingerprint, and the shared parts of its prompt if its
  // response was about to begin.
  std::vector<SuspectPart> parts;

  bool is_merely_open() const { return parts.size() == 1; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, worker, age_ms);
    ArchiveList(archive, parts, kMaximumSuspectParts);
  }
  friend auto operator<=>(const CrashReport&, const CrashReport&) = default;
};

}  // namespace pistachiowalk
