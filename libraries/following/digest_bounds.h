#pragma once

#include <compare>
#include <cstddef>

namespace pistachiowalk {

struct DataCenterDigest;
struct NodeDigest;

// Numbers of entries that were left out of a digest.
struct LeftOutEntries {
  size_t customers = 0;
  size_t counts = 0;
  size_t endpoints = 0;
  size_t services = 0;

  bool is_empty() const { return *this == LeftOutEntries{}; }
  friend auto operator<=>(const LeftOutEntries&,
                          const LeftOutEntries&) = default;
};

// Leaves out of a digest what a datagram cannot carry: entries whose name is
// too long, and the least ones of a list that exceeds its share of the bytes.
// Configs have any number of customers, of names of any length.
LeftOutEntries KeepWithinBounds(NodeDigest& digest);
LeftOutEntries KeepWithinBounds(DataCenterDigest& digest);

}  // namespace pistachiowalk
