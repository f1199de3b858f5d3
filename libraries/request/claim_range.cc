#include "request/claim_range.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pistachiowalk {
namespace {

// Consecutive failures after which claims are refused without waiting.
constexpr uint32_t kFailuresUntilDown = 3;
constexpr uint32_t kMaximumDelayDoublings = 10;
// Loading reads back this many retention times, since the clocks of the nodes
// differ.
constexpr int64_t kLoadHorizonRetentions = 2;

}  // namespace

ClaimRange::ClaimRange(ClaimRangeOptions options, NodeId self)
    : m_options(std::move(options)),
      m_self(std::move(self)),
      m_slot_states(m_options.slots) {}

std::string ClaimRange::KeyOf(uint64_t number) const {
  return m_options.prefix + "/" + std::to_string(SlotOf(number));
}

bool ClaimRange::IsHeadSealed() const {
  return m_head.number == 0 || m_head_bytes >= m_options.segment_bytes;
}

bool ClaimRange::IsStoreDown() const {
  return m_failures >= kFailuresUntilDown;
}

ClaimCommands ClaimRange::Claim(const ClaimEntry& claim, ClaimTime time) {
  ClaimCommands commands;
  if (IsStoreDown() && time.now < m_next_call_at &&
      (m_phase != Phase::kReady || m_table.IsFree(claim))) {
    commands.push_back(SettleClaim{.request = claim.request, .decided = {}});
    return commands;
  }
  m_pending.push_back({.entry = claim, .submitted_at = time.now});
  SettlePending(time, commands);
  Advance(time, commands);
  return commands;
}

ClaimCommands ClaimRange::RecordOutcome(const ClaimEntry& outcome,
                                        ClaimTime time) {
  ClaimCommands commands;
  m_pending.push_back({.entry = outcome, .submitted_at = time.now});
  Advance(time, commands);
  return commands;
}

ClaimCommands ClaimRange::Release(const ClaimEntry& release, ClaimTime time) {
  ClaimCommands commands;
  const auto claim =
      std::find_if(m_pending.begin(), m_pending.end(), [&](const auto& item) {
        return item.entry.kind == ClaimEntryKind::kClaim &&
               item.entry.request == release.request;
      });
  if (claim == m_pending.end()) {
    m_pending.push_back({.entry = release, .submitted_at = time.now});
  } else if (claim->may_be_in_log) {
    claim->entry = release;
  } else {
    m_pending.erase(claim);
  }
  Advance(time, commands);
  return commands;
}

ClaimCommands ClaimRange::Tick(ClaimTime time) {
  ClaimCommands commands;
  if (m_call && time.now - m_call->started_at >= m_options.call_timeout) {
    m_call.reset();
    m_needs_refresh = true;
    OnCallFailed(time);
  }
  RefuseExpired(time, commands);
  Advance(time, commands);
  return commands;
}

void ClaimRange::RefuseExpired(ClaimTime time, ClaimCommands& commands) {
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    const bool is_expired = it->entry.kind == ClaimEntryKind::kClaim &&
                            time.now - it->submitted_at >= m_options.claim_wait;
    if (!is_expired) {
      ++it;
      continue;
    }
    SettleClaim settled{.request = it->entry.request, .decided = {}};
    if (m_phase == Phase::kReady && !m_table.IsFree(it->entry)) {
      settled.decided = m_table.Decide(it->entry);
    }
    commands.push_back(std::move(settled));
    if (it->may_be_in_log) {
      // NOTE: A lost write may still take effect, so the claim is released in
      // the log as well.
      it->entry.kind = ClaimEntryKind::kRelease;
      ++it;
    } else {
      it = m_pending.erase(it);
    }
  }
}

bool ClaimRange::NeedsRefresh(ClaimTime time) const {
  if (m_needs_refresh) {
    return true;
  }
  const bool is_old =
      !m_viewed_at || time.now - *m_viewed_at >= m_options.refresh_interval;
  return std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& item) {
    return item.entry.kind == ClaimEntryKind::kClaim &&
           !m_table.IsFree(item.entry) &&
           (is_old || m_viewed_at < item.submitted_at);
  });
}

bool ClaimRange::HasEntryToWrite() const {
  return std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& item) {
    return item.entry.kind != ClaimEntryKind::kClaim ||
           m_table.IsFree(item.entry);
  });
}

void ClaimRange::Advance(ClaimTime time, ClaimCommands& commands) {
  if (m_call || m_pending.empty() || time.now < m_next_call_at) {
    return;
  }
  if (m_phase == Phase::kNotLoaded) {
    m_phase = Phase::kLoading;
    m_load = LoadProgress();
    m_loaded.clear();
    m_slot_states.assign(m_options.slots, SlotState{});
  }
  if (m_phase == Phase::kLoading) {
    StartRead(NextLoadNumber(), time, commands);
  } else if (NeedsRefresh(time)) {
    StartRead(IsHeadSealed() ? m_head.number + 1 : m_head.number, time,
              commands);
  } else if (HasEntryToWrite() && time.now >= m_next_write) {
    StartWrite(time, commands);
  }
}

void ClaimRange::StartRead(uint64_t number,
                           ClaimTime time,
                           ClaimCommands& commands) {
  m_call = Call{.number = ++m_last_call,
                .started_at = time.now,
                .segment = number,
                .written = {},
                .text = {}};
  commands.push_back(ReadSegment{.call = m_last_call, .key = KeyOf(number)});
}

bool ClaimRange::IsNextSlotReusable(ClaimTime time) const {
  const SlotState& slot = m_slot_states[SlotOf(m_head.number + 1)];
  return slot.revision == 0 ||
         time.wall_ms - slot.written_at_ms >= m_options.retention.count();
}

void ClaimRange::StartWrite(ClaimTime time, ClaimCommands& commands) {
  ClaimSegment segment = m_head;
  StoreRevision expected = m_head_revision;
  if (IsHeadSealed()) {
    if (!IsNextSlotReusable(time)) {
      // The range is full of keys that must still be kept.
      return;
    }
    segment = ClaimSegment{.number = m_head.number + 1};
    expected = m_slot_states[SlotOf(segment.number)].revision;
  }
  size_t batch_bytes = 0;
  for (PendingEntry& item : m_pending) {
    const bool is_needed =
        item.entry.kind != ClaimEntryKind::kClaim || m_table.IsFree(item.entry);
    if (!is_needed || batch_bytes >= m_options.segment_bytes) {
      continue;
    }
    batch_bytes += item.entry.reply.body.size() + item.entry.key.size();
    item.may_be_in_log = true;
    segment.entries.push_back(item.entry);
  }
  segment.writer = m_self;
  segment.written_at_ms = std::max(m_head.written_at_ms, time.wall_ms);
  std::string text = SerializeClaimSegment(segment);
  m_call = Call{.number = ++m_last_call,
                .started_at = time.now,
                .segment = segment.number,
                .written = segment,
                .text = text};
  m_next_write = time.now + m_options.commit_interval;
  commands.push_back(WriteSegment{.call = m_last_call,
                                  .key = KeyOf(segment.number),
                                  .expected = expected,
                                  .value = std::move(text)});
}

void ClaimRange::OnCallFailed(ClaimTime time) {
  ++m_failures;
  const uint32_t doublings = std::min(m_failures - 1, kMaximumDelayDoublings);
  const Duration delay = m_options.retry_delay * (1U << doublings);
  m_next_call_at = time.now + std::min(delay, m_options.maximum_retry_delay);
}

ClaimCommands ClaimRange::OnStoreResult(StoreCallNumber number,
                                        const StoreResult& result,
                                        ClaimTime time) {
  ClaimCommands commands;
  if (!m_call || m_call->number != number) {
    return commands;
  }
  const Call call = std::move(*m_call);
  m_call.reset();
  const bool is_answer = result.status == StoreStatus::kOk ||
                         result.status == StoreStatus::kConflict;
  if (!is_answer) {
    m_needs_refresh = m_needs_refresh || result.status == StoreStatus::kUnknown;
    OnCallFailed(time);
    RefuseExpired(time, commands);
    return commands;
  }
  if (m_phase == Phase::kLoading) {
    OnLoadedSlot(result, time);
  } else if (call.written && result.status == StoreStatus::kOk) {
    ApplySegment(*call.written, result.revision, call.text.size());
  } else {
    ApplyStoreValue(call.segment, result);
  }
  if (m_phase == Phase::kNotLoaded) {
    // NOTE: Without this delay a damaged log would be read in a tight loop.
    OnCallFailed(time);
    RefuseExpired(time, commands);
    return commands;
  }
  m_failures = 0;
  // A sealed segment may have a successor, which must be read as well.
  const bool is_complete_view =
      m_phase == Phase::kReady &&
      (!IsHeadSealed() || m_head.number != call.segment || call.written);
  m_needs_refresh = !is_complete_view;
  if (is_complete_view) {
    m_viewed_at = call.started_at;
  }
  SettlePending(time, commands);
  RefuseExpired(time, commands);
  Advance(time, commands);
  return commands;
}

uint64_t ClaimRange::NextLoadNumber() const {
  switch (m_load.stage) {
    case LoadStage::kFirstSlot:
      return 1;
    case LoadStage::kSearch:
      return m_load.first_number - 1 +
             std::midpoint(m_load.written, m_load.unwritten);
    case LoadStage::kWalkBack:
      return m_loaded.back().segment.number - 1;
  }
  return 1;
}

void ClaimRange::OnLoadedSlot(const StoreResult& result, ClaimTime time) {
  std::optional<LoadedSegment> found;
  if (result.revision != 0) {
    std::optional<ClaimSegment> segment = ParseClaimSegment(result.value);
    if (!segment) {
      RestartLoading();
      return;
    }
    m_slot_states[SlotOf(segment->number)] = {
        .revision = result.revision, .written_at_ms = segment->written_at_ms};
    found = LoadedSegment{.segment = std::move(*segment),
                          .revision = result.revision,
                          .bytes = result.value.size()};
  }
  switch (m_load.stage) {
    case LoadStage::kFirstSlot:
      if (!found) {
        FinishLoading();
        return;
      }
      m_load = {.stage = LoadStage::kSearch,
                .first_number = found->segment.number,
                .written = 1,
                .unwritten = m_options.slots + 1};
      m_loaded = {std::move(*found)};
      return;
    case LoadStage::kSearch:
      OnSearchRead(std::move(found));
      return;
    case LoadStage::kWalkBack:
      OnWalkBackRead(std::move(found), time);
      return;
  }
}

void ClaimRange::OnSearchRead(std::optional<LoadedSegment> found) {
  const uint64_t position = std::midpoint(m_load.written, m_load.unwritten);
  if (found && found->segment.number == m_load.first_number - 1 + position) {
    m_load.written = position;
    m_loaded = {std::move(*found)};
  } else {
    m_load.unwritten = position;
  }
  if (m_load.written + 1 < m_load.unwritten) {
    return;
  }
  m_load.stage = LoadStage::kWalkBack;
  if (m_loaded.back().segment.number == 1) {
    FinishLoading();
  }
}

void ClaimRange::OnWalkBackRead(std::optional<LoadedSegment> found,
                                ClaimTime time) {
  if (!found || found->segment.number > NextLoadNumber()) {
    // Other nodes wrote between the reads.
    RestartLoading();
    return;
  }
  const int64_t horizon_ms =
      time.wall_ms - kLoadHorizonRetentions * m_options.retention.count();
  const bool is_needed = found->segment.number == NextLoadNumber() &&
                         found->segment.written_at_ms >= horizon_ms;
  if (is_needed) {
    m_loaded.push_back(std::move(*found));
  }
  if (!is_needed || m_loaded.back().segment.number == 1 ||
      m_loaded.size() == m_options.slots) {
    FinishLoading();
  }
}

void ClaimRange::FinishLoading() {
  std::reverse(m_loaded.begin(), m_loaded.end());
  for (size_t i = 1; i < m_loaded.size(); ++i) {
    if (m_loaded[i - 1].bytes < m_options.segment_bytes) {
      // Other nodes wrote between the reads.
      RestartLoading();
      return;
    }
  }
  m_table = ClaimTable();
  m_head = ClaimSegment();
  m_head_revision = 0;
  m_head_bytes = 0;
  for (const LoadedSegment& item : m_loaded) {
    ApplyEntriesFrom(item.segment, 0);
    m_head = item.segment;
    m_head_revision = item.revision;
    m_head_bytes = item.bytes;
  }
  m_loaded.clear();
  m_phase = Phase::kReady;
}

void ClaimRange::RestartLoading() {
  m_phase = Phase::kNotLoaded;
  m_viewed_at.reset();
}

void ClaimRange::ApplyStoreValue(uint64_t number, const StoreResult& result) {
  const bool is_next = number == m_head.number + 1;
  if (result.revision == 0 && is_next && result.status == StoreStatus::kOk) {
    return;
  }
  const std::optional<ClaimSegment> segment = ParseClaimSegment(result.value);
  if (!segment) {
    RestartLoading();
    return;
  }
  if (is_next && segment->number < number) {
    // The slot still holds the segment from before the wrap-around, whose
    // revision was not known.
    m_slot_states[SlotOf(number)] = {.revision = result.revision,
                                     .written_at_ms = segment->written_at_ms};
    return;
  }
  ApplySegment(*segment, result.revision, result.value.size());
}

void ClaimRange::ApplySegment(const ClaimSegment& segment,
                              StoreRevision revision,
                              size_t bytes) {
  const bool is_extension = segment.number == m_head.number &&
                            segment.entries.size() >= m_head.entries.size();
  const bool is_successor =
      segment.number == m_head.number + 1 && IsHeadSealed();
  if (!is_extension && !is_successor) {
    RestartLoading();
    return;
  }
  if (is_successor && segment.number > m_options.slots) {
    m_table.DropThrough(segment.number - m_options.slots);
  }
  ApplyEntriesFrom(segment, is_extension ? m_head.entries.size() : 0);
  m_head = segment;
  m_head_revision = revision;
  m_head_bytes = bytes;
  m_slot_states[SlotOf(segment.number)] = {
      .revision = revision, .written_at_ms = segment.written_at_ms};
}

void ClaimRange::ApplyEntriesFrom(const ClaimSegment& segment, size_t first) {
  for (size_t i = first; i < segment.entries.size(); ++i) {
    const ClaimEntry& entry = segment.entries[i];
    m_table.Apply(entry, segment.number);
    std::erase_if(m_pending, [&entry](const PendingEntry& item) {
      return entry.kind != ClaimEntryKind::kClaim &&
             item.entry.kind == entry.kind &&
             item.entry.request == entry.request;
    });
  }
}

void ClaimRange::SettlePending(ClaimTime /*time*/, ClaimCommands& commands) {
  if (m_phase != Phase::kReady) {
    return;
  }
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    const bool is_claim = it->entry.kind == ClaimEntryKind::kClaim;
    if (!is_claim || m_table.IsFree(it->entry)) {
      ++it;
      continue;
    }
    const ClaimDecided decided = m_table.Decide(it->entry);
    // A digest mismatch is final only in a view newer than the claim, since the
    // holder may have released the key. While another request holds the key, it
    // may still record an outcome.
    const bool is_final = decided.verdict == ClaimVerdict::kGranted ||
                          decided.verdict == ClaimVerdict::kFinished ||
                          decided.verdict == ClaimVerdict::kSuperseded ||
                          (decided.verdict == ClaimVerdict::kDigestMismatch &&
                           m_viewed_at >= it->submitted_at);
    if (!is_final) {
      ++it;
      continue;
    }
    commands.push_back(
        SettleClaim{.request = it->entry.request, .decided = decided});
    it = m_pending.erase(it);
  }
}

}  // namespace pistachiowalk
