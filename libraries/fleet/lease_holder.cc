#include "fleet/lease_holder.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pistachiowalk {
namespace {

// Between two steps the wall clock may advance this much further than the
// monotonic clock before the difference counts as a pause.
constexpr Duration kWallTolerance = std::chrono::milliseconds(200);
// Number of the history of a store that was never restored from a copy. In it,
// keys and fencing numbers are those of earlier builds.
constexpr StoreHistory kFirstHistory = 1;
// Fencing numbers of later histories begin at the history's number shifted by
// this many bits. The result is exact in a double for two million restores.
constexpr int kHistoryShift = 32;

}  // namespace

LeaseHolder::LeaseHolder(std::string key,
                         std::string holder,
                         LeaseTerms terms,
                         AuditSink& audit)
    : m_key(std::move(key)),
      m_holder(std::move(holder)),
      m_terms(terms),
      m_audit(audit) {}

void LeaseHolder::MeasurePause(TimePoint now,
                               std::chrono::system_clock::time_point wall) {
  if (m_last_step != TimePoint{}) {
    const Duration monotonic_elapsed = now - m_last_step;
    const Duration wall_elapsed = wall - m_last_wall;
    m_longest_pause =
        std::max({m_longest_pause, monotonic_elapsed, wall_elapsed});
    // NOTE: The monotonic clock may stop while the VM is suspended, so the time
    // that it did not count is taken off the safe time. Setting the wall clock
    // forward also ends the safe time, which is safe.
    if (wall_elapsed - monotonic_elapsed > kWallTolerance) {
      ShortenSafeTime(wall_elapsed - monotonic_elapsed);
    }
  }
  m_last_step = now;
  m_last_wall = wall;
}

void LeaseHolder::ShortenSafeTime(Duration uncounted) {
  m_safe_until -= uncounted;
  if (m_pending) {
    m_pending->sent_at -= uncounted;
  }
  if (m_unconfirmed_write) {
    m_unconfirmed_write->sent_at -= uncounted;
  }
}

StoreCall LeaseHolder::Send(StoreCall call,
                            const LeaseRecord& record,
                            TimePoint now) {
  call.number = ++m_last_number;
  call.key = StoreKey();
  m_pending = PendingCall{.call = call, .sent_at = now, .record = record};
  return call;
}

StoreCall LeaseHolder::Read(TimePoint now) {
  return Send(StoreCall{.kind = StoreCall::Kind::kRead}, LeaseRecord{}, now);
}

StoreCall LeaseHolder::Renew(TimePoint now) {
  LeaseRecord record = m_record;
  ++record.beat;
  return Send(StoreCall{.kind = StoreCall::Kind::kWrite,
                        .expected = m_revision,
                        .value = FormatLeaseRecord(record)},
              record, now);
}

std::string LeaseHolder::StoreKey() const {
  return m_history <= kFirstHistory ? m_key
                                    : fmt::format("{}@{}", m_key, m_history);
}

FencingNumber LeaseHolder::HistoryFence() const {
  return m_history <= kFirstHistory ? 0 : m_history << kHistoryShift;
}

FencingNumber LeaseHolder::NextFence() const {
  return std::max(m_highest_fence, HistoryFence()) + 1;
}

StoreCall LeaseHolder::TakeOver(TimePoint now) {
  const bool is_first_of_history =
      m_history > kFirstHistory && m_known_record.history_since == 0;
  const LeaseRecord record{
      .holder = m_holder,
      .fence = NextFence(),
      .beat = 1,
      .history_since =
          is_first_of_history
              ? std::chrono::duration_cast<std::chrono::milliseconds>(
                    m_last_wall.time_since_epoch())
                    .count()
              : m_known_record.history_since};
  return Send(StoreCall{.kind = StoreCall::Kind::kWrite,
                        .expected = m_revision,
                        .value = FormatLeaseRecord(record)},
              record, now);
}

bool LeaseHolder::IsFree(TimePoint now) const {
  const bool is_released =
      m_known_record.fence != 0 && m_known_record.fence <= m_released_fence;
  const bool never_held = m_revision == 0 && m_history <= kFirstHistory;
  return m_has_read && (never_held || is_released ||
                        now - m_unchanged_since >= TakeOverWait(m_terms));
}

std::optional<StoreCall> LeaseHolder::Step(
    TimePoint now,
    std::chrono::system_clock::time_point wall) {
  MeasurePause(now, wall);
  if (m_pending) {
    if (now - m_pending->sent_at < m_terms.call_timeout) {
      return std::nullopt;
    }
    OnAnswer(m_pending->call.number,
             StoreResult{.status = StoreStatus::kUnknown}, now);
  }
  if (now < m_next_call) {
    return std::nullopt;
  }
  if (m_unconfirmed_write) {
    return Read(now);
  }
  if (m_is_holder) {
    m_next_call = now + m_terms.renew_interval;
    if (m_must_claim) {
      if (!MayOrder(now)) {
        MarkLost("the store was restored and the safe time is over");
        return Read(now);
      }
      return TakeOver(now);
    }
    return Renew(now);
  }
  if (IsFree(now) && now >= m_may_take_from) {
    return TakeOver(now);
  }
  m_next_call = now + m_terms.poll_interval;
  return Read(now);
}

void LeaseHolder::OnAnswer(uint64_t number,
                           const StoreResult& result,
                           TimePoint now) {
  if (!m_pending || m_pending->call.number != number) {
    // Answers a call that has timed out.
    return;
  }
  if (result.history > m_history) {
    NoteHistory(result.history, now);
    if (!m_pending) {
      // The answer belongs to the key of an earlier history, which nobody reads
      // any more.
      return;
    }
  }
  const PendingCall pending = *m_pending;
  m_pending.reset();
  if (result.status == StoreStatus::kUnavailable) {
    m_next_call = now + m_terms.renew_interval / 4;
    return;
  }
  if (result.status == StoreStatus::kUnknown) {
    if (pending.call.kind == StoreCall::Kind::kWrite) {
      m_unconfirmed_write = pending;
    }
    m_next_call = now + m_terms.renew_interval / 4;
    return;
  }
  if (pending.call.kind == StoreCall::Kind::kWrite) {
    OnWritten(pending, result);
    return;
  }
  OnRead(result, now);
}

void LeaseHolder::NoteHistory(StoreHistory history, TimePoint now) {
  if (history <= m_history) {
    return;
  }
  const bool uses_same_key = history <= kFirstHistory;
  m_history = history;
  m_next_call = TimePoint{};
  if (uses_same_key) {
    return;
  }
  m_pending.reset();
  m_unconfirmed_write.reset();
  m_revision = 0;
  m_known_record = LeaseRecord{};
  m_has_read = false;
  m_unchanged_since = now;
  m_must_claim = m_is_holder;
}

std::optional<std::chrono::system_clock::time_point>
LeaseHolder::history_since() const {
  if (m_record.history_since == 0) {
    return std::nullopt;
  }
  return std::chrono::system_clock::time_point(
      std::chrono::milliseconds(m_record.history_since));
}

void LeaseHolder::OnWritten(const PendingCall& pending,
                            const StoreResult& result) {
  if (result.status == StoreStatus::kOk) {
    MarkHeld(pending.record, result.revision, pending.sent_at);
    return;
  }
  // The compare-and-swap lost to another write; a read shows which.
  m_unconfirmed_write = pending;
  m_next_call = TimePoint{};
}

void LeaseHolder::OnRead(const StoreResult& result, TimePoint now) {
  const std::optional<PendingCall> unconfirmed =
      std::exchange(m_unconfirmed_write, {});
  const std::optional<LeaseRecord> parsed = ParseLeaseRecord(result.value);
  const LeaseRecord record = parsed.value_or(LeaseRecord{});
  // NOTE: A history gives out no more fencing numbers than the key's revision,
  // which is a safe substitute when the record cannot be parsed.
  m_highest_fence =
      std::max(m_highest_fence,
               parsed ? record.fence : HistoryFence() + result.revision);
  if (unconfirmed && record == unconfirmed->record) {
    MarkHeld(record, result.revision, unconfirmed->sent_at);
    return;
  }
  if (m_is_holder && record == m_record) {
    // The unconfirmed renewal did not take effect; renew again at once.
    m_revision = result.revision;
    m_next_call = TimePoint{};
    return;
  }
  if (m_must_claim && result.revision == 0) {
    m_next_call = TimePoint{};
    return;
  }
  if (m_is_holder) {
    MarkLost("the store names " + record.holder);
  }
  // NOTE: In a history without a record, the wait counts from when this node
  // learned of the history, not from the first read.
  const bool is_without_record =
      result.revision == 0 && m_revision == 0 && m_history > kFirstHistory;
  if (!is_without_record && (!m_has_read || result.revision != m_revision)) {
    m_revision = result.revision;
    m_unchanged_since = now;
  }
  m_has_read = true;
  m_known_record = record;
  if (IsFree(now)) {
    m_next_call = TimePoint{};
  }
}

void LeaseHolder::MarkHeld(const LeaseRecord& record,
                           StoreRevision revision,
                           TimePoint sent_at) {
  const bool is_new = !m_is_holder || m_must_claim;
  if (!m_is_holder) {
    m_held_since = m_last_wall;
  }
  m_is_holder = true;
  m_must_claim = false;
  m_record = record;
  m_known_record = record;
  m_revision = revision;
  m_highest_fence = std::max(m_highest_fence, record.fence);
  m_safe_until = sent_at + m_terms.term;
  m_next_call = sent_at + m_terms.renew_interval;
  if (is_new) {
    RecordChange("granted", fmt::format("fence={}", record.fence));
  }
}

void LeaseHolder::MarkLost(const std::string& reason) {
  RecordChange("lost", reason);
  // NOTE: Orders may have been sent since the last step.
  m_may_take_from = m_last_step + m_terms.term + m_terms.order_timeout;
  m_is_holder = false;
  m_must_claim = false;
  m_safe_until = TimePoint{};
  m_has_read = false;
}

void LeaseHolder::NoteSuperseded(FencingNumber seen) {
  m_highest_fence = std::max(m_highest_fence, seen);
  if (m_is_holder && seen > m_record.fence) {
    MarkLost(fmt::format("an endpoint knows fence {}", seen));
    m_next_call = TimePoint{};
  }
}

void LeaseHolder::Release(const std::string& reason) {
  if (m_is_holder) {
    m_released_fence = std::max(m_released_fence, m_record.fence);
    MarkLost(reason);
  }
  m_pending.reset();
  m_unconfirmed_write.reset();
}

void LeaseHolder::NoteReleased(FencingNumber fence) {
  if (fence > m_released_fence) {
    m_released_fence = fence;
    // Read the lease at once instead of at the next poll.
    m_next_call = TimePoint{};
  }
}

bool LeaseHolder::MayOrder(TimePoint now) const {
  return m_is_holder && now < m_safe_until;
}

LeaseState LeaseHolder::StateAt(TimePoint now) const {
  if (!m_is_holder) {
    return LeaseState::kWaiting;
  }
  return MayOrder(now) ? LeaseState::kHeld : LeaseState::kLapsed;
}

void LeaseHolder::RecordChange(const std::string& action,
                               const std::string& reason) {
  m_audit.Record(AuditRecord{.actor = m_holder,
                             .subject = m_key,
                             .action = action,
                             .reason = reason,
                             .before = m_known_record.holder,
                             .after = m_record.holder});
}

}  // namespace pistachiowalk
