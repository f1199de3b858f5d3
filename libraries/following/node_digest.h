#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "base/ids.h"
#include "serving/customer_limits.h"
#include "serving/engine_load.h"

namespace pistachiowalk {

// Limits on the lists in a digest, against malicious datagrams.
constexpr size_t kMaximumDigestEndpoints = 4096;
constexpr size_t kMaximumDigestCustomers = 1024;
constexpr size_t kMaximumDigestWindows = 64;
constexpr size_t kMaximumDigestServices = 256;

// Open requests of a node at one endpoint.
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

// NOTE: Single precision halves the size on narrow links; it represents whole
// tokens exactly up to 16 million.
template <class Archive>
void ArchiveWindowUsage(Archive& archive, WindowUsage& usage) {
  for (double& amount : usage.by_age) {
    auto coded = static_cast<float>(amount);
    archive(coded);
    amount = coded;
  }
}

// Usage of one customer's limit within the window: by the node itself, and by
// ended incarnations that the node remembers.
struct CustomerUsage {
  CustomerName customer;
  WindowUsage own;
  WindowUsage remembered;

  template <class Archive>
  void serialize(Archive& archive) {
    ArchiveName(archive, customer);
    ArchiveWindowUsage(archive, own);
    ArchiveWindowUsage(archive, remembered);
  }
  friend auto operator<=>(const CustomerUsage&, const CustomerUsage&) = default;
};

// Number of a customer's requests that a node started in one usage window.
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

// Prompt tokens per second that callers request of a service through a node.
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

// The state that a node sends to its peers several times a second: to all nodes
// of a small deployment, otherwise to those of its data centre. Each digest
// replaces the previous one, so a lost datagram is harmless.
struct NodeDigest {
  NodeId node;
  DataCenterName data_center;
  // Link bandwidth in megabits per second. The node with the widest link
  // becomes the representative of its data centre.
  uint32_t link_megabits = 0;
  // The node is shutting down, so another one must take over as representative.
  bool is_stopping = false;
  // Increases with each start of the node.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  // The node's cluster time, in milliseconds since 1970.
  int64_t wall_milliseconds = 0;
  // Revisions of the newest changes of the followed prefixes that the node has
  // seen, and whether it reaches the store.
  uint64_t config_change = 0;
  uint64_t endpoints_change = 0;
  uint64_t nodes_change = 0;
  bool reaches_store = false;
  // The node holds the duty lease.
  bool holds_duty = false;
  // Fencing number of the last lease grant that the node released, 0 for none.
  uint64_t released_fence = 0;
  std::vector<EndpointWork> work;
  std::vector<CustomerUsage> customer_usage;
  // Omitted from some digests. Counts only increase, so the last ones received
  // stay valid.
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
    ArchiveList(archive, customer_usage, kMaximumDigestCustomers);
    ArchiveList(archive, started,
                kMaximumDigestCustomers * kMaximumDigestWindows);
    ArchiveList(archive, demand, kMaximumDigestServices);
  }
  friend auto operator<=>(const NodeDigest&, const NodeDigest&) = default;
};

}  // namespace pistachiowalk
