#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "request/claim_segment.h"
#include "request/claim_table.h"
#include "store/store_port.h"

// One range of the idempotency keys: a log of claims in the platform's store
// that every node may append to. Docs: docs/design/0010-at-most-once.md.
namespace pistachiowalk {

struct ClaimRangeOptions {
  // The log's segments stand at `<prefix>/<slot>`.
  std::string prefix;
  uint64_t slots = 256;
  // A segment is sealed once its text has this size.
  size_t segment_bytes = 128 * 1024;
  // Least time between the starts of two writes.
  Duration commit_interval = std::chrono::milliseconds(100);
  // How often the log is read while a claim waits for another's outcome.
  Duration refresh_interval = std::chrono::milliseconds(200);
  // A claim that is not decided by then is refused.
  Duration claim_wait = std::chrono::seconds(1);
  // A store call without an answer for so long counts as lost.
  Duration call_timeout = std::chrono::seconds(2);
  Duration retry_delay = std::chrono::milliseconds(50);
  Duration maximum_retry_delay = std::chrono::seconds(1);
  // A finished key is remembered at least so long.
  std::chrono::milliseconds retention = std::chrono::minutes(10);
};

// Both clocks, as the shell read them.
struct ClaimTime {
  TimePoint now;
  int64_t wall_ms = 0;
};

using StoreCallNumber = uint64_t;

// Read a key; answered by OnStoreResult with the call's number.
struct ReadSegment {
  StoreCallNumber call = 0;
  std::string key;
};

// Compare and swap; answered by OnStoreResult with the call's number.
struct WriteSegment {
  StoreCallNumber call = 0;
  std::string key;
  StoreRevision expected = 0;
  std::string value;
};

struct SettleClaim {
  RequestId request;
  ClaimDecided decided;
};

using ClaimCommand = std::variant<ReadSegment, WriteSegment, SettleClaim>;
using ClaimCommands = std::vector<ClaimCommand>;

// The core of one node's part in one range. A claim is granted only after a
// compare-and-swap on the log's last segment took effect, which proves that
// this node had seen every earlier entry, whoever wrote it.
class ClaimRange {
 public:
  ClaimRange(ClaimRangeOptions options, NodeId self);

  // Starts a claim; SettleClaim answers it exactly once.
  ClaimCommands Claim(const ClaimEntry& claim, ClaimTime time);
  // Records an outcome, to be written with the next batch.
  ClaimCommands RecordOutcome(const ClaimEntry& outcome, ClaimTime time);
  // Gives a key back, or withdraws a claim that is not settled. No SettleClaim
  // follows.
  ClaimCommands Release(const ClaimEntry& release, ClaimTime time);
  // Results of calls that timed out are ignored.
  ClaimCommands OnStoreResult(StoreCallNumber call,
                              const StoreResult& result,
                              ClaimTime time);
  // Called from time to time, at least ten times a second while not idle.
  ClaimCommands Tick(ClaimTime time);

  bool IsIdle() const { return m_pending.empty() && !m_call; }
  size_t table_size() const { return m_table.size(); }
  // The node that wrote last, as far as this node knows.
  const NodeId& last_writer() const { return m_head.writer; }

 private:
  enum class Phase {
    // The log has not been read, or its reading has to begin anew.
    kNotLoaded,
    kLoading,
    kReady,
  };

  struct PendingEntry {
    ClaimEntry entry;
    TimePoint submitted_at;
    // Part of a write that may have taken effect.
    bool may_be_in_log = false;
  };

  struct Call {
    StoreCallNumber number = 0;
    TimePoint started_at;
    uint64_t segment = 0;
    // The segment that is being written; nothing for a read.
    std::optional<ClaimSegment> written;
    std::string text;
  };

  enum class LoadStage {
    // The segment in the log's first slot tells the lap of the log.
    kFirstSlot,
    // Binary search for the last segment of that lap.
    kSearch,
    // From the last segment back to those too old to matter.
    kWalkBack,
  };

  // Positions in the lap, from 1: the last known to be written and the first
  // known not to be.
  struct LoadProgress {
    LoadStage stage = LoadStage::kFirstSlot;
    uint64_t first_number = 0;
    uint64_t written = 1;
    uint64_t unwritten = 0;
  };

  struct LoadedSegment {
    ClaimSegment segment;
    StoreRevision revision = 0;
    size_t bytes = 0;
  };

  uint64_t SlotOf(uint64_t number) const { return number % m_options.slots; }
  std::string KeyOf(uint64_t number) const;
  bool IsHeadSealed() const;
  bool IsStoreDown() const;
  // Whether a claim waits for what other nodes may have written.
  bool NeedsRefresh(ClaimTime time) const;
  bool HasEntryToWrite() const;

  void Advance(ClaimTime time, ClaimCommands& commands);
  void StartRead(uint64_t number, ClaimTime time, ClaimCommands& commands);
  void StartWrite(ClaimTime time, ClaimCommands& commands);
  // Whether the slot after the head may be overwritten.
  bool IsNextSlotReusable(ClaimTime time) const;
  void OnCallFailed(ClaimTime time);
  uint64_t NextLoadNumber() const;
  void OnLoadedSlot(const StoreResult& result, ClaimTime time);
  void OnSearchRead(std::optional<LoadedSegment> found);
  void OnWalkBackRead(std::optional<LoadedSegment> found, ClaimTime time);
  void FinishLoading();
  // Takes in a segment as it stands in the store.
  void ApplySegment(const ClaimSegment& segment,
                    StoreRevision revision,
                    size_t bytes);
  void ApplyStoreValue(uint64_t number, const StoreResult& result);
  void ApplyEntriesFrom(const ClaimSegment& segment, size_t first);
  // Drops pending entries that stand in the log; settles decided claims.
  void SettlePending(ClaimTime time, ClaimCommands& commands);
  void RefuseExpired(ClaimTime time, ClaimCommands& commands);
  void RestartLoading();

  const ClaimRangeOptions m_options;
  const NodeId m_self;
  Phase m_phase = Phase::kNotLoaded;
  ClaimTable m_table;
  // The last segment known; number 0 while the log is empty.
  ClaimSegment m_head;
  StoreRevision m_head_revision = 0;
  size_t m_head_bytes = 0;
  struct SlotState {
    StoreRevision revision = 0;
    int64_t written_at_ms = 0;
  };
  std::vector<SlotState> m_slot_states;
  LoadProgress m_load;
  // The last segment first.
  std::vector<LoadedSegment> m_loaded;
  std::deque<PendingEntry> m_pending;
  std::optional<Call> m_call;
  StoreCallNumber m_last_call = 0;
  // When the call behind the present view of the log was started.
  std::optional<TimePoint> m_viewed_at;
  TimePoint m_next_write{};
  TimePoint m_next_call_at{};
  uint32_t m_failures = 0;
  bool m_needs_refresh = false;
};

}  // namespace pistachiowalk
