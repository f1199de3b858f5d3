#include "engine_model.h"

#include <algorithm>

namespace pistachiowalk::measure {
namespace {

// Prompt tokens prefilled in one step, between decoding steps.
constexpr uint64_t kPrefillChunk = 512;

uint64_t TokensFrom(const std::vector<PrefixBlock>& prompt, size_t first) {
  uint64_t tokens = 0;
  for (size_t i = first; i < prompt.size(); ++i) {
    tokens += prompt[i].tokens;
  }
  return tokens;
}

}  // namespace

size_t PrefixCache::Match(const std::vector<PrefixBlock>& prompt) {
  size_t count = 0;
  while (count < prompt.size() && m_by_hash.contains(prompt[count].hash)) {
    ++count;
  }
  // Children are moved to the front before their parents, so that they are
  // evicted first.
  for (size_t i = count; i > 0; --i) {
    const auto it = m_by_hash.at(prompt[i - 1].hash);
    m_entries.splice(m_entries.begin(), m_entries, it);
  }
  return count;
}

void PrefixCache::Store(const std::vector<PrefixBlock>& prompt) {
  for (size_t i = prompt.size(); i > 0; --i) {
    const PrefixBlock& block = prompt[i - 1];
    const auto it = m_by_hash.find(block.hash);
    if (it != m_by_hash.end()) {
      m_entries.splice(m_entries.begin(), m_entries, it->second);
      continue;
    }
    m_entries.push_front(Entry{.block = block});
    m_by_hash[block.hash] = m_entries.begin();
    m_tokens += block.tokens;
    m_events.push_back(
        CacheEvent{.kind = CacheEventKind::kStored, .hash = block.hash});
  }
  while (m_tokens > m_capacity_tokens && !m_entries.empty()) {
    const PrefixBlock block = m_entries.back().block;
    m_entries.pop_back();
    m_by_hash.erase(block.hash);
    m_tokens -= block.tokens;
    m_events.push_back(
        CacheEvent{.kind = CacheEventKind::kRemoved, .hash = block.hash});
  }
}

std::vector<CacheEvent> PrefixCache::TakeEvents() {
  return std::exchange(m_events, {});
}

void EngineModel::Admit(ComputedBlocks& computed) {
  while (m_running.size() < m_slots && !m_waiting.empty()) {
    Sequence sequence;
    sequence.job = std::move(m_waiting.front());
    m_waiting.pop_front();
    const std::vector<PrefixBlock>& prompt = sequence.job.prompt;
    const size_t cached = m_cache.Match(prompt);
    for (size_t i = cached; i < prompt.size(); ++i) {
      if (!computed.insert(prompt[i].hash).second) {
        m_recomputed_tokens += prompt[i].tokens;
      }
    }
    sequence.prefill_left = std::max<uint64_t>(1, TokensFrom(prompt, cached));
    m_running.push_back(std::move(sequence));
  }
}

double EngineModel::StartStep(ComputedBlocks& computed) {
  Admit(computed);
  uint64_t budget = kPrefillChunk;
  uint32_t decoding = 0;
  for (Sequence& sequence : m_running) {
    decoding += sequence.prefill_left == 0 ? 1 : 0;
    sequence.chunk = std::min(budget, sequence.prefill_left);
    budget -= sequence.chunk;
  }
  const auto chunk = static_cast<double>(kPrefillChunk - budget);
  return m_profile.step_seconds +
         m_profile.step_seconds_per_sequence * decoding +
         chunk / m_profile.prefill_tokens_per_second;
}

std::vector<JobProgress> EngineModel::FinishStep(ComputedBlocks& computed) {
  std::vector<JobProgress> progress;
  for (Sequence& sequence : m_running) {
    if (sequence.prefill_left > 0) {
      sequence.prefill_left -= sequence.chunk;
      if (sequence.prefill_left > 0 || sequence.chunk == 0) {
        continue;
      }
      m_cache.Store(sequence.job.prompt);
    }
    ++sequence.generated;
    const bool is_finished = sequence.generated >= sequence.job.output_tokens;
    progress.push_back(JobProgress{.job = sequence.job.job,
                                   .generated_tokens = sequence.generated,
                                   .is_finished = is_finished});
    if (is_finished) {
      sequence.job.prompt.push_back(sequence.job.answer);
      m_cache.Store(sequence.job.prompt);
      computed.insert(sequence.job.answer.hash);
    }
  }
  std::erase_if(m_running, [](const Sequence& sequence) {
    return sequence.generated >= sequence.job.output_tokens;
  });
  return progress;
}

LoadReport EngineModel::Sample(TimePoint now) const {
  LoadReport report;
  report.sampled_at = now;
  report.running = static_cast<uint32_t>(m_running.size());
  report.waiting = static_cast<uint32_t>(m_waiting.size());
  for (const Sequence& sequence : m_running) {
    report.pending_prefill_tokens += sequence.prefill_left;
  }
  for (const EngineJob& job : m_waiting) {
    report.pending_prefill_tokens += TokensFrom(job.prompt, 0);
  }
  return report;
}

std::vector<JobProgress> EngineModel::RemoveAllJobs() {
  std::vector<JobProgress> taken;
  for (const Sequence& sequence : m_running) {
    taken.push_back(JobProgress{.job = sequence.job.job,
                                .generated_tokens = sequence.generated});
  }
  for (const EngineJob& job : m_waiting) {
    taken.push_back(JobProgress{.job = job.job});
  }
  m_running.clear();
  m_waiting.clear();
  return taken;
}

}  // namespace pistachiowalk::measure
