#pragma once

#include <cstdint>
#include <vector>

#include "following/node_digest.h"

namespace pistachiowalk {

// The state of all nodes of one data centre, summed by its representative and
// sent to the other data centres, so that the traffic between data centres does
// not grow with the square of the number of nodes.
struct DataCenterDigest {
  DataCenterName data_center;
  // The node that sends the digest, and its incarnation.
  NodeId representative;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // Nodes of the data centre from which the representative receives digests,
  // itself included.
  uint32_t nodes = 0;
  // Revisions of the newest changes of the followed prefixes that the
  // representative has seen.
  uint64_t config_change = 0;
  uint64_t endpoints_change = 0;
  uint64_t nodes_change = 0;
  // The node of this data centre that holds the duty lease, or empty.
  NodeId duty_holder;
  // The highest fencing number that a node of this data centre has released.
  uint64_t released_fence = 0;
  // Sums over the nodes of the data centre.
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
