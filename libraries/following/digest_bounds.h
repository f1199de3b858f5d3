#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <set>

#include "base/ids.h"

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

// Returns what a customer may use in a window; 0 if it has no limit.
using AllowedUsageOf = std::function<double(const CustomerName&)>;

// Leaves out of a digest what a datagram cannot carry: entries whose name is
// too long, and the least ones of a list that exceeds its share of the bytes.
// Configs have any number of customers, of names of any length. With
// `allowed_usage_of`, the customers that are nearest to their limits are kept.
LeftOutEntries KeepWithinBounds(
    NodeDigest& digest,
    const AllowedUsageOf& allowed_usage_of = nullptr);
LeftOutEntries KeepWithinBounds(
    DataCenterDigest& digest,
    const AllowedUsageOf& allowed_usage_of = nullptr);

// Returns the customers of `before` that `kept` lacks.
std::set<CustomerName> LeftOutCustomers(const NodeDigest& before,
                                        const NodeDigest& kept);

}  // namespace pistachiowalk
