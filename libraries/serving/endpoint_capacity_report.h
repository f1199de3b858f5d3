#pragma once

#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"
#include "base/ids.h"

namespace pistachiowalk {

// Limit on the list of a message. Of more endpoints, those with the most
// samples are told.
constexpr size_t kMaximumCapacityReports = 256;

// What one node has measured of an endpoint, and its last report of the
// momentary pace. Logarithms are in steps of
// 1/32, those of gaps in milliseconds in steps of 1/27.
struct EndpointCapacityReport {
  uint64_t endpoint_key = 0;
  uint8_t pace_weight = 0;
  int8_t pace_log = 0;
  uint8_t short_gap_weight = 0;
  uint8_t short_gap_log = 0;
  uint8_t momentary_log = 0;
  // In tens of milliseconds; the highest value means that there is none.
  uint8_t momentary_age = 255;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint_key, pace_weight, pace_log, short_gap_weight,
            short_gap_log, momentary_log, momentary_age);
  }
  friend auto operator<=>(const EndpointCapacityReport&,
                          const EndpointCapacityReport&) = default;
};

// The reports of one node. They replace its previous ones, so that an endpoint
// that is not in the list is as usual for that node.
struct EndpointCapacityState {
  NodeId node;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  std::vector<EndpointCapacityReport> reports;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, node);
    archive(incarnation, sequence);
    ArchiveList(archive, reports, kMaximumCapacityReports);
  }
  friend auto operator<=>(const EndpointCapacityState&,
                          const EndpointCapacityState&) = default;
};

}  // namespace pistachiowalk
