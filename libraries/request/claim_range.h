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

// The claims for one range of idempotency keys: a log in the platform's store
// that every node may append to. See docs/design/0010-at-most-once.md.
namespace pistachiowalk {

struct ClaimRangeOptions {
  // The log's segments are stored under `<prefix>/<slot>`.
  std::string prefix;
  uint64_t slots = 256;
  // A segment is sealed once its serialized size reaches this.
  size_t segment_bytes = 128 * 1024;
  // Minimum time between the starts of two writes.
  Duration commit_interval = std::chrono::milliseconds(100);
  // How often the log is read while a claim waits for the outcome of another
  // request.
  Duration refresh_interval = std::chrono::milliseconds(200);
  // A claim that is not decided within this time is refused.
  Duration claim_wait = std::chrono::seconds(1);
  // A store call without an answer within this time counts as lost.
  Duration call_timeout = std::chrono::seconds(2);
  Duration retry_delay = std::chrono::milliseconds(50);
  Duration maximum_retry_delay = std::chrono::seconds(1);
  // A finished key is kept for at least this time.
  std::chrono::milliseconds retention = std::chrono::minutes(10);
};

// The monotonic and the wall clock, as read by the caller.
struct ClaimTime {
  TimePoint now;
  int64_t wall_ms = 0;
};

using StoreCallNumber = uint64_t;

// Asks the caller to read a key and to pass the result to OnStoreResult().
struct ReadSegment {
  StoreCallNumber call = 0;
  std::string key;
};

// Asks the caller for a compare-and-swap and to pass the result to
// OnStoreResult().
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

// One node's view of one range. A claim is granted only after a
// compare-and-swap on the log's last segment took effect, which proves that
// this node had seen every earlier entry, whichever node wrote it.
class ClaimRange {
 public:
  ClaimRange(ClaimRangeOptions options, NodeId self);

  // Starts a claim. Exactly one SettleClaim answers it.
  ClaimCommands Claim(const ClaimEntry& claim, ClaimTime time);
  // Queues an outcome for the next write.
  ClaimCommands RecordOutcome(const ClaimEntry& outcome, ClaimTime time);
  // Releases a key, or withdraws a claim that is not settled; it then gets no
  // SettleClaim.
  ClaimCommands Release(const ClaimEntry& release, ClaimTime time);
  // Ignores results of calls that have timed out.
  ClaimCommands OnStoreResult(StoreCallNumber call,
                              const StoreResult& result,
                              ClaimTime time);
  // Handles timeouts. Must be called at least ten times a second while not
  // idle.
  ClaimCommands Tick(ClaimTime time);

  bool IsIdle() const { return m_pending.empty() && !m_call; }
  size_t table_size() const { return m_table.size(); }
  // The last node known to have written to the log.
  const NodeId& last_writer() const { return m_head.writer; }

 private:
  enum class Phase {
    // The log has not been read or must be read again from the start.
    kNotLoaded,
    kLoading,
    kReady,
  };

  struct PendingEntry {
    ClaimEntry entry;
    TimePoint submitted_at;
    // The entry was part of a write that may have taken effect.
    bool may_be_in_log = false;
  };

  struct Call {
    StoreCallNumber number = 0;
    TimePoint started_at;
    uint64_t segment = 0;
    // The segment that is being written; empty for a read.
    std::optional<ClaimSegment> written;
    std::string text;
  };

  enum class LoadStage {
    // Read the first slot. The number of its segment shows how often the log
    // has wrapped around the slots.
    kFirstSlot,
    // Binary search for the last segment written since the last wrap-around.
    kSearch,
    // Read backwards from the last segment until the segments are too old to
    // matter.
    kWalkBack,
  };

  // `written` and `unwritten` are positions since the wrap-around, from 1: the
  // last one known to be written and the first one known not to be.
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
  // Whether the log must be read, since a claim depends on what other nodes may
  // have written.
  bool NeedsRefresh(ClaimTime time) const;
  bool HasEntryToWrite() const;

  void Advance(ClaimTime time, ClaimCommands& commands);
  void StartRead(uint64_t number, ClaimTime time, ClaimCommands& commands);
  void StartWrite(ClaimTime time, ClaimCommands& commands);
  // Whether the slot after the head is empty or old enough to be overwritten.
  bool IsNextSlotReusable(ClaimTime time) const;
  void OnCallFailed(ClaimTime time);
  uint64_t NextLoadNumber() const;
  void OnLoadedSlot(const StoreResult& result, ClaimTime time);
  void OnSearchRead(std::optional<LoadedSegment> found);
  void OnWalkBackRead(std::optional<LoadedSegment> found, ClaimTime time);
  void FinishLoading();
  // Applies the current content of a segment in the store.
  void ApplySegment(const ClaimSegment& segment,
                    StoreRevision revision,
                    size_t bytes);
  void ApplyStoreValue(uint64_t number, const StoreResult& result);
  // Applies the entries from index `first` on, and drops pending entries that
  // are now in the log.
  void ApplyEntriesFrom(const ClaimSegment& segment, size_t first);
  // Settles the pending claims on which the table gives a final decision.
  void SettlePending(ClaimTime time, ClaimCommands& commands);
  void RefuseExpired(ClaimTime time, ClaimCommands& commands);
  void RestartLoading();

  const ClaimRangeOptions m_options;
  const NodeId m_self;
  Phase m_phase = Phase::kNotLoaded;
  ClaimTable m_table;
  // The last known segment; its number is 0 while the log is empty.
  ClaimSegment m_head;
  StoreRevision m_head_revision = 0;
  size_t m_head_bytes = 0;
  struct SlotState {
    StoreRevision revision = 0;
    int64_t written_at_ms = 0;
  };
  std::vector<SlotState> m_slot_states;
  LoadProgress m_load;
  // In descending order of the segment number until loading finishes.
  std::vector<LoadedSegment> m_loaded;
  std::deque<PendingEntry> m_pending;
  std::optional<Call> m_call;
  StoreCallNumber m_last_call = 0;
  // Start time of the call that produced the current view of the log.
  std::optional<TimePoint> m_viewed_at;
  TimePoint m_next_write{};
  TimePoint m_next_call_at{};
  uint32_t m_failures = 0;
  bool m_needs_refresh = false;
};

}  // namespace pistachiowalk
