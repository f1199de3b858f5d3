#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "rollout/rollout_report.h"
#include "rollout/rollout_result.h"
#include "rollout/worker_evidence.h"

namespace pistachiowalk {

// What one node's own requests say against the target of a roll-out, so that it
// stops by itself if nobody decides. Asks for more than the judgement over all
// nodes; a node with few requests never gets there.
class OwnEvidence {
 public:
  void Add(const std::string& route,
           bool is_target,
           uint64_t endpoint_key,
           const RolloutResult& result,
           TimePoint now);
  bool IsAgainstTarget() const { return m_is_against; }

 private:
  struct Usual {
    double answers = 0.0;
    double bad = 0.0;
    std::array<double, kRolloutTimeBuckets> times{};
    double time_count = 0.0;
  };

  void EndSlice(TimePoint now);

  TimePoint m_slice_since{};
  std::map<std::string, Usual> m_usual;
  WorkerEvidence::Slices m_failure_slices;
  WorkerEvidence::Slices m_slowness_slices;
  WorkerEvidence m_failures;
  WorkerEvidence m_slowness;
  bool m_is_against = false;
};

}  // namespace pistachiowalk
