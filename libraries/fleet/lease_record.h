#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiowalk {

// Fencing number of a lease; increases with each new holder.
using FencingNumber = uint64_t;

// The value stored under a lease's key in the platform's store.
struct LeaseRecord {
  // Node and incarnation of the holder.
  std::string holder;
  FencingNumber fence = 0;
  // Increases with each renewal, so that a reader can tell whether its own
  // write took effect.
  uint64_t beat = 0;
  // When a node first took the lease in this history of the store, in
  // milliseconds since 1970 by its wall clock; 0 if the store was never
  // restored. What was written before that may be lost.
  int64_t history_since = 0;

  friend auto operator<=>(const LeaseRecord&, const LeaseRecord&) = default;
};

std::string FormatLeaseRecord(const LeaseRecord& record);
// Returns nullopt when `text` is not a lease record.
std::optional<LeaseRecord> ParseLeaseRecord(std::string_view text);

}  // namespace pistachiowalk
