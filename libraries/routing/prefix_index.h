#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace pistachiowalk {

// A block of a prompt. The hash covers the prompt from its start to the end of
// the block, so that equal hashes mean equal prefixes.
struct PrefixBlock {
  uint64_t hash = 0;
  uint32_t tokens = 0;

  friend auto operator<=>(const PrefixBlock&, const PrefixBlock&) = default;
};

enum class CacheEventKind : uint8_t { kStored, kRemoved };

struct CacheEvent {
  CacheEventKind kind = CacheEventKind::kStored;
  uint64_t hash = 0;

  friend auto operator<=>(const CacheEvent&, const CacheEvent&) = default;
};

// Cache events of one endpoint, numbered so that gaps are detected.
struct CacheEventBatch {
  uint64_t endpoint_key = 0;
  // Increases by one with each batch of the endpoint.
  uint64_t sequence = 0;
  std::vector<CacheEvent> events;

  friend auto operator<=>(const CacheEventBatch&,
                          const CacheEventBatch&) = default;
};

// Tokens of a prompt that an endpoint is expected to have in its cache.
struct ExpectedPrefix {
  uint64_t endpoint_key = 0;
  double tokens = 0.0;
  // When the endpoint was first and last sent a prompt with the prefix; the
  // former is the clock's epoch if it is known to have read it.
  TimePoint since{};
  TimePoint seen_at{};

  friend auto operator<=>(const ExpectedPrefix&,
                          const ExpectedPrefix&) = default;
};

struct PrefixLookup {
  // The endpoints expected to have a prefix of the prompt in their cache.
  std::vector<ExpectedPrefix> holders;
  // Leading tokens that many prompts share, such as instructions: several
  // endpoints have cached them, and another one would compute them just once.
  uint64_t shared_tokens = 0;

  friend auto operator<=>(const PrefixLookup&, const PrefixLookup&) = default;
};

// Estimates where prefixes are cached, from this node's own requests and from
// cache events, which arrive late and with gaps; it is never authoritative.
// Memory is bounded: the least recently used blocks are dropped.
class PrefixIndex {
 public:
  // Records that the endpoint will have the prompt in its cache.
  void RecordSend(uint64_t endpoint_key,
                  std::span<const PrefixBlock> prompt,
                  TimePoint now);
  // Records that the endpoint has read the prefix with this hash.
  void RecordRead(uint64_t endpoint_key, uint64_t hash, TimePoint now);
  void ApplyEvents(const CacheEventBatch& batch, TimePoint now);
  PrefixLookup Find(std::span<const PrefixBlock> prompt) const;
  // Returns the prompt tokens that the endpoint probably has to prefill.
  uint32_t UncachedTokens(uint64_t endpoint_key,
                          std::span<const PrefixBlock> prompt) const;
  // Returns how likely a block that the endpoint evicts now would have been
  // used again: 0 without evictions, approaching 1 the sooner blocks are
  // evicted after their last use.
  double EvictionPressure(uint64_t endpoint_key, TimePoint now) const;
  size_t BlockCount() const { return m_recent.size() + m_older.size(); }

 private:
  struct Holder {
    uint64_t endpoint_key = 0;
    TimePoint since{};
    TimePoint seen_at{};
  };
  using Holders = std::vector<Holder>;
  using BlockMap = std::unordered_map<uint64_t, Holders>;
  struct EventStream {
    // Moving average of the time between a block's last use and its eviction.
    double eviction_age_seconds = 0.0;
    TimePoint evicted_at{};
    bool has_eviction = false;
    uint64_t last_sequence = 0;
    TimePoint gap_at{};
    bool has_gap = false;
  };

  Holders& HoldersOf(uint64_t hash);
  const Holders* FindHolders(uint64_t hash) const;
  Holder& Store(uint64_t hash, uint64_t endpoint_key, TimePoint now);
  void Remove(uint64_t hash, uint64_t endpoint_key);
  void RecordEviction(uint64_t hash, uint64_t endpoint_key, TimePoint now);
  double Confidence(const Holder& holder) const;

  // Two generations: when the recent one is full, it replaces the older one.
  BlockMap m_recent;
  BlockMap m_older;
  std::unordered_map<uint64_t, EventStream> m_streams;
};

}  // namespace pistachiowalk
