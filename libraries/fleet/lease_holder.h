#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "base/audit_sink.h"
#include "base/clock.h"
#include "fleet/lease_record.h"
#include "fleet/lease_terms.h"
#include "fleet/store_call.h"

namespace pistachiowalk {

enum class LeaseState {
  // Another node holds the lease, or no holder is known.
  kWaiting,
  kHeld,
  // Held, but the safe time is over: no order may be sent until a renewal
  // succeeds or another node takes over.
  kLapsed,
};

constexpr std::string_view LeaseStateName(LeaseState state) {
  switch (state) {
    case LeaseState::kWaiting:
      return "waiting";
    case LeaseState::kHeld:
      return "held";
    case LeaseState::kLapsed:
      return "lapsed";
  }
  return "waiting";
}

// One node's part in one lease: acquires, renews and loses it. Does no I/O: it
// returns store calls, one at a time, and receives their answers.
//
// After the store was restored from a copy, the lease begins anew under a key
// of that history, so that no write of an earlier history can meet its
// condition. The holder claims it at once; the others wait until a holder that
// the store has forgotten must have stopped. Fencing numbers start above all
// that an earlier history can have given out.
//
// Clocks of different nodes are never compared. The holder measures its safe
// time from when it sent the renewal. A waiting node measures the take-over
// wait from when it first saw that renewal, which is later.
class LeaseHolder {
 public:
  // `holder` names the node and its incarnation, so that a restarted process
  // does not mistake the lease of an earlier one for its own.
  LeaseHolder(std::string key,
              std::string holder,
              LeaseTerms terms,
              AuditSink& audit);

  // Returns the next store call, if one is due. `wall` reveals pauses that the
  // monotonic clock does not count.
  std::optional<StoreCall> Step(TimePoint now,
                                std::chrono::system_clock::time_point wall);
  void OnAnswer(uint64_t number, const StoreResult& result, TimePoint now);
  // Called when a response of the store named a later history.
  void NoteHistory(StoreHistory history, TimePoint now);

  // Whether an order may be sent at `now`. Check directly before sending.
  bool MayOrder(TimePoint now) const;
  // An endpoint rejected this holder's fencing number as too low, so another
  // node holds the lease.
  void NoteSuperseded(FencingNumber seen);
  // Gives up the current grant. No order may be sent under it afterwards.
  void Release(const std::string& reason);
  // The holder of `fence` reported that it released the lease, so its safe time
  // need not be waited for.
  void NoteReleased(FencingNumber fence);
  LeaseState StateAt(TimePoint now) const;
  FencingNumber fence() const { return m_record.fence; }
  const std::string& key() const { return m_key; }
  // Of this node's grant; see LeaseRecord.
  std::optional<std::chrono::system_clock::time_point> history_since() const;
  // When this node's grant began, by its wall clock. A restore of the store
  // does not end it if the node claims the lease again in time.
  std::chrono::system_clock::time_point held_since() const {
    return m_held_since;
  }
  // The holder that the store recorded when it was last read or written.
  const std::string& known_holder() const { return m_known_record.holder; }
  Duration longest_pause() const { return m_longest_pause; }

 private:
  struct PendingCall {
    StoreCall call;
    TimePoint sent_at;
    LeaseRecord record;
  };

  void MeasurePause(TimePoint now, std::chrono::system_clock::time_point wall);
  void ShortenSafeTime(Duration uncounted);
  StoreCall Send(StoreCall call, const LeaseRecord& record, TimePoint now);
  StoreCall Read(TimePoint now);
  StoreCall Renew(TimePoint now);
  StoreCall TakeOver(TimePoint now);
  // The lease's key in the store, which depends on the history.
  std::string StoreKey() const;
  // The number above which those of the current history begin.
  FencingNumber HistoryFence() const;
  FencingNumber NextFence() const;
  bool IsFree(TimePoint now) const;
  void OnWritten(const PendingCall& pending, const StoreResult& result);
  void OnRead(const StoreResult& result, TimePoint now);
  void MarkHeld(const LeaseRecord& record,
                StoreRevision revision,
                TimePoint sent_at);
  void MarkLost(const std::string& reason);
  void RecordChange(const std::string& action, const std::string& reason);

  std::string m_key;
  std::string m_holder;
  LeaseTerms m_terms;
  AuditSink& m_audit;

  std::optional<PendingCall> m_pending;
  // A write that may or may not have taken effect; the next read decides.
  std::optional<PendingCall> m_unconfirmed_write;
  uint64_t m_last_number = 0;
  TimePoint m_next_call{};

  StoreHistory m_history = 0;
  bool m_is_holder = false;
  // Held, but not yet written under the key of the current history.
  bool m_must_claim = false;
  std::chrono::system_clock::time_point m_held_since{};
  LeaseRecord m_record;
  TimePoint m_safe_until{};
  StoreRevision m_revision = 0;
  bool m_has_read = false;
  LeaseRecord m_known_record;
  TimePoint m_unchanged_since{};
  FencingNumber m_highest_fence = 0;
  FencingNumber m_released_fence = 0;
  // After it lost or released the lease, the node does not take it again before
  // this time, so that two nodes do not act alternately within a term.
  TimePoint m_may_take_from{};

  TimePoint m_last_step{};
  std::chrono::system_clock::time_point m_last_wall{};
  Duration m_longest_pause{};
};

}  // namespace pistachiowalk
