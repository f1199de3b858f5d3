#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "request/claim_entry.h"
#include "request/request_event.h"

namespace pistachiowalk {

// State of the keys that results from the entries of one claim log. Nodes that
// applied the same entries in the same order have the same table.
class ClaimTable {
 public:
  // Applies the next entry of the log, which is in segment `number`.
  void Apply(const ClaimEntry& entry, uint64_t number);
  // Drops the keys whose last entry is in segment `number` or an earlier one.
  void DropThrough(uint64_t number);

  // Whether `claim` would be granted if its entry were applied next.
  bool IsFree(const ClaimEntry& claim) const;
  // The decision on a claim whose key is not free.
  ClaimDecided Decide(const ClaimEntry& claim) const;
  size_t size() const { return m_records.size(); }

 private:
  struct Record {
    // Empty when the last holder released the key.
    RequestId holder;
    std::string digest;
    bool is_finished = false;
    ActionReply reply;
    // NOTE: A release may precede its claim, which then has no effect.
    std::set<RequestId> released;
    // Claims with an earlier attempt than this have no effect any more.
    CallerAttempt minimum_attempt = 0;
    uint64_t segment = 0;
  };

  static void ApplyClaim(Record& record, const ClaimEntry& entry);
  static void ApplyOutcome(Record& record, const ClaimEntry& entry);
  static void ApplyRelease(Record& record, const ClaimEntry& entry);

  std::map<std::string, Record> m_records;
};

}  // namespace pistachiowalk
