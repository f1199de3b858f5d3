#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "request/claim_entry.h"
#include "request/request_event.h"

namespace pistachiowalk {

// What the entries of one claim log amount to. Nodes that applied the same
// entries in the same order hold the same table.
class ClaimTable {
 public:
  // Takes in the next entry of the log, which stands in segment `number`.
  void Apply(const ClaimEntry& entry, uint64_t number);
  // Drops the keys whose last entry stands in segment `number` or before it.
  void DropThrough(uint64_t number);

  // Whether `claim` could be granted if its entry came next.
  bool IsFree(const ClaimEntry& claim) const;
  // The decision on a claim that is not free.
  ClaimDecided Decide(const ClaimEntry& claim) const;
  size_t size() const { return m_records.size(); }

 private:
  struct Record {
    // Empty when the last holder released the key.
    RequestId holder;
    std::string digest;
    bool is_finished = false;
    ActionReply reply;
    // NOTE: A release may come before its claim, which then has no effect.
    std::set<RequestId> released;
    // Claims of earlier attempts than this one have no effect any more.
    CallerAttempt minimum_attempt = 0;
    uint64_t segment = 0;
  };

  static void ApplyClaim(Record& record, const ClaimEntry& entry);
  static void ApplyOutcome(Record& record, const ClaimEntry& entry);
  static void ApplyRelease(Record& record, const ClaimEntry& entry);

  std::map<std::string, Record> m_records;
};

}  // namespace pistachiowalk
