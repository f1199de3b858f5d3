#include "request/claim_table.h"

#include <algorithm>

namespace pistachiowalk {

void ClaimTable::ApplyClaim(Record& record, const ClaimEntry& entry) {
  if (!record.holder.value().empty() ||
      record.released.contains(entry.request) ||
      entry.attempt < record.minimum_attempt) {
    return;
  }
  record.holder = entry.request;
  record.digest = entry.digest;
}

void ClaimTable::ApplyOutcome(Record& record, const ClaimEntry& entry) {
  // NOTE: Without a holder the segment of the claim has been dropped already,
  // but the action did run.
  if (!record.holder.value().empty() && record.holder != entry.request) {
    return;
  }
  record.holder = entry.request;
  record.digest = entry.digest;
  record.is_finished = true;
  record.reply = entry.reply;
}

void ClaimTable::ApplyRelease(Record& record, const ClaimEntry& entry) {
  record.released.insert(entry.request);
  record.minimum_attempt = std::max(record.minimum_attempt, entry.attempt);
  if (record.holder == entry.request && !record.is_finished) {
    record.holder = RequestId();
  }
}

void ClaimTable::Apply(const ClaimEntry& entry, uint64_t number) {
  Record& record = m_records[entry.key];
  record.segment = number;
  switch (entry.kind) {
    case ClaimEntryKind::kClaim:
      ApplyClaim(record, entry);
      return;
    case ClaimEntryKind::kOutcome:
      ApplyOutcome(record, entry);
      return;
    case ClaimEntryKind::kRelease:
      ApplyRelease(record, entry);
      return;
  }
}

void ClaimTable::DropThrough(uint64_t number) {
  std::erase_if(m_records, [number](const auto& item) {
    return item.second.segment <= number;
  });
}

bool ClaimTable::IsFree(const ClaimEntry& claim) const {
  const auto it = m_records.find(claim.key);
  return it == m_records.end() || (it->second.holder.value().empty() &&
                                   claim.attempt >= it->second.minimum_attempt);
}

ClaimDecided ClaimTable::Decide(const ClaimEntry& claim) const {
  const Record& record = m_records.at(claim.key);
  if (record.holder.value().empty()) {
    return {.verdict = ClaimVerdict::kSuperseded, .reply = {}};
  }
  if (record.holder == claim.request && !record.is_finished) {
    return {.verdict = ClaimVerdict::kGranted, .reply = {}};
  }
  if (record.digest != claim.digest) {
    return {.verdict = ClaimVerdict::kDigestMismatch, .reply = {}};
  }
  if (record.is_finished) {
    return {.verdict = ClaimVerdict::kFinished, .reply = record.reply};
  }
  return {.verdict = ClaimVerdict::kHeldByAnother, .reply = {}};
}

}  // namespace pistachiowalk
