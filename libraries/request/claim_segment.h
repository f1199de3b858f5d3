#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "request/claim_entry.h"

namespace pistachiowalk {

// A part of a claim log, stored under one key of the platform's store. Entries
// are only added, until the segment is sealed by its size.
struct ClaimSegment {
  // Position in the log, from 1.
  uint64_t number = 0;
  // Wall clock of the last writer, in milliseconds since 1970.
  int64_t written_at_ms = 0;
  // The node that wrote last.
  NodeId writer;
  std::vector<ClaimEntry> entries;

  friend auto operator<=>(const ClaimSegment&, const ClaimSegment&) = default;
};

std::string SerializeClaimSegment(const ClaimSegment& segment);
// Returns nullopt when `text` is not a segment.
std::optional<ClaimSegment> ParseClaimSegment(const std::string& text);

}  // namespace pistachiowalk
