#include "routing/prefix_index.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pistachiowalk {
namespace {

constexpr size_t kBlocksPerGeneration = 32768;
// Holders kept per block; a prefix that all endpoints cache need not be tracked
// completely.
constexpr size_t kMaximumHolders = 32;
// A short prefix with at least this many holders is assumed to be shared
// instructions.
constexpr size_t kMinimumSharedHolders = 3;
constexpr uint64_t kMaximumSharedTokens = 2048;
constexpr size_t kMaximumStreams = 32768;
// Confidence in blocks recorded before a gap in the endpoint's cache events.
constexpr double kConfidenceBeforeGap = 0.8;

// An endpoint may have evicted a block that was not used for this time.
constexpr Duration kMaximumIdleTime = std::chrono::seconds(10);
// Weight of the newest eviction in the moving average.
constexpr double kEvictionWeight = 0.1;
// Evictions older than this are ignored.
constexpr double kMaximumEvictionAgeSeconds = 30.0;
// Time constant of a block's reuse: after this idle time it is likely not used
// again.
constexpr double kReuseSeconds = 60.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

PrefixIndex::Holders& PrefixIndex::HoldersOf(uint64_t hash) {
  const auto recent = m_recent.find(hash);
  if (recent != m_recent.end()) {
    return recent->second;
  }
  Holders holders;
  const auto older = m_older.find(hash);
  if (older != m_older.end()) {
    holders = std::move(older->second);
    m_older.erase(older);
  }
  if (m_recent.size() >= kBlocksPerGeneration) {
    m_older = std::move(m_recent);
    m_recent.clear();
  }
  return m_recent.emplace(hash, std::move(holders)).first->second;
}

const PrefixIndex::Holders* PrefixIndex::FindHolders(uint64_t hash) const {
  const auto recent = m_recent.find(hash);
  if (recent != m_recent.end()) {
    return &recent->second;
  }
  const auto older = m_older.find(hash);
  return older == m_older.end() ? nullptr : &older->second;
}

PrefixIndex::Holder& PrefixIndex::Store(uint64_t hash,
                                        uint64_t endpoint_key,
                                        TimePoint now) {
  Holders& holders = HoldersOf(hash);
  for (Holder& holder : holders) {
    if (holder.endpoint_key == endpoint_key) {
      if (now - holder.seen_at > kMaximumIdleTime) {
        holder.since = now;
      }
      holder.seen_at = now;
      return holder;
    }
  }
  if (holders.size() == kMaximumHolders) {
    holders.erase(std::min_element(holders.begin(), holders.end(),
                                   [](const Holder& a, const Holder& b) {
                                     return a.seen_at < b.seen_at;
                                   }));
  }
  return holders.emplace_back(
      Holder{.endpoint_key = endpoint_key, .since = now, .seen_at = now});
}

void PrefixIndex::Remove(uint64_t hash, uint64_t endpoint_key) {
  for (BlockMap* map : {&m_recent, &m_older}) {
    const auto it = map->find(hash);
    if (it == map->end()) {
      continue;
    }
    std::erase_if(it->second, [endpoint_key](const Holder& holder) {
      return holder.endpoint_key == endpoint_key;
    });
    if (it->second.empty()) {
      map->erase(it);
    }
  }
}

void PrefixIndex::RecordSend(uint64_t endpoint_key,
                             std::span<const PrefixBlock> prompt,
                             TimePoint now) {
  for (const PrefixBlock& block : prompt) {
    Store(block.hash, endpoint_key, now);
  }
}

void PrefixIndex::RecordRead(uint64_t endpoint_key,
                             uint64_t hash,
                             TimePoint now) {
  Store(hash, endpoint_key, now).since = TimePoint{};
}

void PrefixIndex::ApplyEvents(const CacheEventBatch& batch, TimePoint now) {
  if (m_streams.size() >= kMaximumStreams) {
    m_streams.clear();
  }
  EventStream& stream = m_streams[batch.endpoint_key];
  if (stream.last_sequence != 0 && batch.sequence <= stream.last_sequence) {
    return;
  }
  if (stream.last_sequence != 0 && batch.sequence > stream.last_sequence + 1) {
    stream.has_gap = true;
    stream.gap_at = now;
  }
  stream.last_sequence = batch.sequence;
  for (const CacheEvent& event : batch.events) {
    if (event.kind == CacheEventKind::kStored) {
      Store(event.hash, batch.endpoint_key, now);
    } else {
      RecordEviction(event.hash, batch.endpoint_key, now);
      Remove(event.hash, batch.endpoint_key);
    }
  }
}

void PrefixIndex::RecordEviction(uint64_t hash,
                                 uint64_t endpoint_key,
                                 TimePoint now) {
  const Holders* holders = FindHolders(hash);
  if (holders == nullptr) {
    return;
  }
  EventStream& stream = m_streams[endpoint_key];
  for (const Holder& holder : *holders) {
    if (holder.endpoint_key != endpoint_key) {
      continue;
    }
    const double age = Seconds(now - holder.seen_at);
    const double weight = stream.has_eviction ? kEvictionWeight : 1.0;
    stream.eviction_age_seconds += weight * (age - stream.eviction_age_seconds);
    stream.has_eviction = true;
    stream.evicted_at = now;
  }
}

uint32_t PrefixIndex::UncachedTokens(
    uint64_t endpoint_key,
    std::span<const PrefixBlock> prompt) const {
  double uncached = 0.0;
  for (const PrefixBlock& block : prompt) {
    uncached += block.tokens;
  }
  for (const ExpectedPrefix& prefix : Find(prompt).holders) {
    if (prefix.endpoint_key == endpoint_key) {
      uncached -= prefix.tokens;
    }
  }
  return static_cast<uint32_t>(std::max(0.0, uncached));
}

double PrefixIndex::EvictionPressure(uint64_t endpoint_key,
                                     TimePoint now) const {
  const auto it = m_streams.find(endpoint_key);
  if (it == m_streams.end() || !it->second.has_eviction ||
      Seconds(now - it->second.evicted_at) > kMaximumEvictionAgeSeconds) {
    return 0.0;
  }
  return std::exp(-it->second.eviction_age_seconds / kReuseSeconds);
}

double PrefixIndex::Confidence(const Holder& holder) const {
  const auto it = m_streams.find(holder.endpoint_key);
  const bool is_before_gap = it != m_streams.end() && it->second.has_gap &&
                             holder.seen_at <= it->second.gap_at;
  return is_before_gap ? kConfidenceBeforeGap : 1.0;
}

PrefixLookup PrefixIndex::Find(std::span<const PrefixBlock> prompt) const {
  PrefixLookup lookup;
  std::vector<ExpectedPrefix>& found = lookup.holders;
  uint64_t tokens = 0;
  for (const PrefixBlock& block : prompt) {
    tokens += block.tokens;
    const Holders* holders = FindHolders(block.hash);
    if (holders == nullptr) {
      continue;
    }
    if (holders->size() >= kMinimumSharedHolders &&
        tokens <= kMaximumSharedTokens) {
      lookup.shared_tokens = tokens;
    }
    for (const Holder& holder : *holders) {
      const double expected = static_cast<double>(tokens) * Confidence(holder);
      const auto it = std::find_if(
          found.begin(), found.end(), [&holder](const ExpectedPrefix& prefix) {
            return prefix.endpoint_key == holder.endpoint_key;
          });
      if (it != found.end()) {
        if (expected >= it->tokens) {
          it->tokens = expected;
          it->since = holder.since;
          it->seen_at = holder.seen_at;
        }
      } else {
        found.push_back(ExpectedPrefix{.endpoint_key = holder.endpoint_key,
                                       .tokens = expected,
                                       .since = holder.since,
                                       .seen_at = holder.seen_at});
      }
    }
  }
  return lookup;
}

}  // namespace pistachiowalk
