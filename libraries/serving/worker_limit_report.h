#pragma once

#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"

namespace pistachiowalk {

// Limit on the list of a message, against malicious datagrams.
constexpr size_t kMaximumLimitReports = 4096;

// What a response of a worker said of its limit.
struct WorkerLimitReport {
  // The endpoint's key.
  uint64_t worker = 0;
  bool is_limited = false;
  // From all nodes together; meaningful only if `is_limited`.
  float requests_per_second = 0.0F;
  // Time since the response.
  uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, is_limited, requests_per_second, age_ms);
  }
  friend auto operator<=>(const WorkerLimitReport&,
                          const WorkerLimitReport&) = default;
};

// Reports as of their sender's cluster time, since their ages count from there.
struct WorkerLimitState {
  // Since 1970.
  int64_t wall_milliseconds = 0;
  std::vector<WorkerLimitReport> reports;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(wall_milliseconds);
    ArchiveList(archive, reports, kMaximumLimitReports);
  }
  friend auto operator<=>(const WorkerLimitState&,
                          const WorkerLimitState&) = default;
};

}  // namespace pistachiowalk
