#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "base/ids.h"
#include "serving/customer_limits.h"
#include "serving/engine_load.h"

namespace pistachiowalk {

// Bounds of the lists in a digest, against hostile datagrams.
constexpr size_t kMaximumDigestEndpoints = 4096;
constexpr size_t kMaximumDigestCustomers = 1024;
constexpr size_t kMaximumDigestWindows = 64;
constexpr size_t kMaximumDigestServices = 256;

// Work that a node has open at one endpoint.
struct EndpointWork {
  uint64_t endpoint_key = 0;
  uint32_t requests = 0;
  uint32_t pending_prompt_tokens = 0;
  uint32_t context_tokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint_key, requests, pending_prompt_tokens, context_tokens);
  }
  friend auto operator<=>(const EndpointWork&, const EndpointWork&) = default;
};

// NOTE: Single precision halves what digests take on narrow links; it holds
// whole tokens up to 16 million.
template <class Archive>
void ArchiveWindowUse(Archive& archive, WindowUsage& use) {
  for (double& amount : use.by_age) {
    auto coded = static_cast<float>(amount);
    archive(coded);
    amount = coded;
  }
}

// Use of one customer's limit within the window: by the node, and by
// incarnations that ended, as far as the node remembers them.
struct CustomerUsed {
  CustomerName customer;
  WindowUsage own;
  WindowUsage remembered;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, customer);
    ArchiveWindowUse(archive, own);
    ArchiveWindowUse(archive, remembered);
  }
  friend auto operator<=>(const CustomerUsed&, const CustomerUsed&) = default;
};

// Requests of one customer that began in one usage window at a node.
struct StartedCount {
  uint64_t window = 0;
  CustomerName customer;
  uint32_t started = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(window);
    ArchiveName(archive, customer);
    archive(started);
  }
  friend auto operator<=>(const StartedCount&, const StartedCount&) = default;
};

// Prompt tokens a second that callers ask of a service's engines at a node.
struct ServiceDemand {
  ServiceName service;
  double prompt_tokens_per_second = 0.0;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, service);
    archive(prompt_tokens_per_second);
  }
  friend auto operator<=>(const ServiceDemand&, const ServiceDemand&) = default;
};

// What a node tells others a few times a second: all of them while they are
// few, and those of its data centre when they are many. Each one replaces those
// before; a lost one does no harm.
struct NodeDigest {
  NodeId node;
  DataCenterName data_center;
  // Megabits a second; nodes with wide links tell others more.
  uint32_t link_megabits = 0;
  // The node stops, so that another one must take over what it does for its
  // data centre.
  bool is_stopping = false;
  // Rises with each start of the node.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // The node's idea of the time, in milliseconds since 1970.
  int64_t wall_milliseconds = 0;
  // The newest changes that it has seen of what nodes follow, and whether it
  // reaches the store.
  uint64_t config_change = 0;
  uint64_t endpoints_change = 0;
  uint64_t nodes_change = 0;
  bool reaches_store = false;
  // The node holds the duties' lease.
  bool holds_duty = false;
  // Fencing number of the last grant that the node has released, 0 for none.
  uint64_t released_fence = 0;
  std::vector<EndpointWork> work;
  std::vector<CustomerUsed> used;
  // Left out of some digests; counts only rise, so the last ones told hold.
  std::vector<StartedCount> started;
  std::vector<ServiceDemand> demand;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, node);
    ArchiveName(archive, data_center);
    archive(link_megabits, is_stopping, incarnation, sequence,
            wall_milliseconds, config_change, endpoints_change, nodes_change,
            reaches_store, holds_duty, released_fence);
    ArchiveList(archive, work, kMaximumDigestEndpoints);
    ArchiveList(archive, used, kMaximumDigestCustomers);
    ArchiveList(archive, started,
                kMaximumDigestCustomers * kMaximumDigestWindows);
    ArchiveList(archive, demand, kMaximumDigestServices);
  }
  friend auto operator<=>(const NodeDigest&, const NodeDigest&) = default;
};

}  // namespace pistachiowalk
