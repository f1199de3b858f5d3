#pragma once

#include <cstdint>
#include <vector>

#include "following/node_digest.h"

namespace pistachiowalk {

// What one node tells other data centres of all nodes in its own, so that what
// crosses between data centres does not grow with the square of the nodes.
struct DataCenterDigest {
  DataCenterName data_center;
  // The node that tells, and its start.
  NodeId representative;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // Nodes that the teller hears in its data centre, itself included.
  uint32_t nodes = 0;
  // The newest changes that the teller has seen of what nodes follow.
  uint64_t config_change = 0;
  uint64_t endpoints_change = 0;
  uint64_t nodes_change = 0;
  // The node of this data centre that holds the duties' lease, or empty.
  NodeId duty_holder;
  // The highest fencing number that a node of it has released.
  uint64_t released_fence = 0;
  // Sums over its nodes.
  std::vector<EndpointWork> work;
  std::vector<CustomerUsage> customer_usage;
  std::vector<ServiceDemand> demand;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, data_center);
    ArchiveName(archive, representative);
    archive(incarnation, sequence, nodes, config_change, endpoints_change,
            nodes_change);
    ArchiveName(archive, duty_holder);
    archive(released_fence);
    ArchiveList(archive, work, kMaximumDigestEndpoints);
    ArchiveList(archive, customer_usage, kMaximumDigestCustomers);
    ArchiveList(archive, demand, kMaximumDigestServices);
  }
  friend auto operator<=>(const DataCenterDigest&,
                          const DataCenterDigest&) = default;
};

}  // namespace pistachiowalk
