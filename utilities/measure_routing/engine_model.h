#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "routing/endpoint_record.h"
#include "routing/prefix_index.h"
#include "routing/route_estimate.h"

namespace pistachiowalk::measure {

using JobNumber = uint32_t;

// One request at an engine.
struct EngineJob {
  JobNumber job = 0;
  std::vector<PrefixBlock> prompt;
  // The answer as a block, cached with the prompt once it is complete.
  PrefixBlock answer;
  uint32_t output_tokens = 0;
};

// Progress of one request in a step.
struct JobProgress {
  JobNumber job = 0;
  uint32_t generated_tokens = 0;
  bool is_finished = false;
};

// Blocks that any engine has computed, to detect recomputed tokens.
using ComputedBlocks = std::unordered_set<uint64_t>;

// LRU cache of prompt blocks with limited memory.
class PrefixCache {
 public:
  explicit PrefixCache(uint64_t capacity_tokens)
      : m_capacity_tokens(capacity_tokens) {}

  // Number of leading blocks held; marks them as used.
  size_t Match(const std::vector<PrefixBlock>& prompt);
  void Store(const std::vector<PrefixBlock>& prompt);
  std::vector<CacheEvent> TakeEvents();

 private:
  struct Entry {
    PrefixBlock block;
  };
  using Entries = std::list<Entry>;

  uint64_t m_capacity_tokens;
  uint64_t m_tokens = 0;
  Entries m_entries;
  std::unordered_map<uint64_t, Entries::iterator> m_by_hash;
  std::vector<CacheEvent> m_events;
};

// A model engine with continuous batching, chunked prefill and a prefix cache,
// advanced step by step.
class EngineModel {
 public:
  EngineModel(const EngineProfile& profile,
              uint32_t slots,
              uint64_t cache_tokens)
      : m_profile(profile), m_slots(slots), m_cache(cache_tokens) {}

  void Enqueue(EngineJob job) { m_waiting.push_back(std::move(job)); }
  bool IsIdle() const { return m_running.empty() && m_waiting.empty(); }
  // Plans the next step and returns its length in seconds.
  double StartStep(ComputedBlocks& computed);
  // Ends the step begun by StartStep.
  std::vector<JobProgress> FinishStep(ComputedBlocks& computed);
  LoadReport Sample(TimePoint now) const;
  // Removes all running and waiting requests; returns them with the tokens that
  // each has generated.
  std::vector<JobProgress> RemoveAllJobs();
  std::vector<CacheEvent> TakeCacheEvents() { return m_cache.TakeEvents(); }
  uint64_t recomputed_tokens() const { return m_recomputed_tokens; }

 private:
  struct Sequence {
    EngineJob job;
    uint64_t prefill_left = 0;
    uint64_t chunk = 0;
    uint32_t generated = 0;
  };

  void Admit(ComputedBlocks& computed);

  EngineProfile m_profile;
  uint32_t m_slots;
  PrefixCache m_cache;
  std::deque<EngineJob> m_waiting;
  std::vector<Sequence> m_running;
  uint64_t m_recomputed_tokens = 0;
};

}  // namespace pistachiowalk::measure
