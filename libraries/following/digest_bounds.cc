#include "following/digest_bounds.h"

#include <algorithm>

#include "following/data_center_digest.h"
#include "following/node_digest.h"

namespace pistachiowalk {
namespace {

// Shares of the lists in the bytes of a datagram, which has at most 65,507.
constexpr size_t kCustomerBytes = 22000;
constexpr size_t kCountBytes = 14000;
constexpr size_t kEndpointBytes = 22000;
constexpr size_t kServiceBytes = 4000;

constexpr size_t kLengthBytes = 4;
constexpr size_t kCustomerUsageBytes = 2 * kWindowParts * sizeof(float);

size_t EncodedBytes(const CustomerUsage& usage) {
  return kLengthBytes + usage.customer.value().size() + kCustomerUsageBytes;
}

size_t EncodedBytes(const StartedCount& count) {
  return sizeof(count.window) + kLengthBytes + count.customer.value().size() +
         sizeof(count.started);
}

size_t EncodedBytes(const EndpointWork& /*work*/) {
  return sizeof(uint64_t) + 3 * sizeof(uint32_t);
}

size_t EncodedBytes(const ServiceDemand& demand) {
  return kLengthBytes + demand.service.value().size() + sizeof(double);
}

bool HasEncodableName(const CustomerUsage& usage) {
  return usage.customer.value().size() <= kMaximumNameBytes;
}

bool HasEncodableName(const StartedCount& count) {
  return count.customer.value().size() <= kMaximumNameBytes;
}

bool HasEncodableName(const EndpointWork& /*work*/) {
  return true;
}

bool HasEncodableName(const ServiceDemand& demand) {
  return demand.service.value().size() <= kMaximumNameBytes;
}

double RankOf(const CustomerUsage& usage) {
  return usage.own.Total() + usage.remembered.Total();
}

double RankOf(const StartedCount& count) {
  return count.started;
}

double RankOf(const EndpointWork& work) {
  return work.requests;
}

double RankOf(const ServiceDemand& demand) {
  return demand.prompt_tokens_per_second;
}

// Returns the number of entries left out.
template <class Entry>
size_t Keep(std::vector<Entry>& entries, size_t most, size_t most_bytes) {
  const size_t count = entries.size();
  std::erase_if(entries,
                [](const Entry& entry) { return !HasEncodableName(entry); });
  size_t bytes = 0;
  for (const Entry& entry : entries) {
    bytes += EncodedBytes(entry);
  }
  if (entries.size() > most || bytes > most_bytes) {
    std::stable_sort(
        entries.begin(), entries.end(),
        [](const Entry& a, const Entry& b) { return RankOf(a) > RankOf(b); });
    size_t kept_bytes = 0;
    const auto end =
        std::find_if(entries.begin(), entries.end(), [&](const Entry& entry) {
          kept_bytes += EncodedBytes(entry);
          return kept_bytes > most_bytes;
        });
    const auto kept = static_cast<size_t>(end - entries.begin());
    entries.resize(std::min(kept, most));
  }
  return count - entries.size();
}

}  // namespace

LeftOutEntries KeepWithinBounds(NodeDigest& digest) {
  return LeftOutEntries{
      .customers =
          Keep(digest.customer_usage, kMaximumDigestCustomers, kCustomerBytes),
      .counts =
          Keep(digest.started, kMaximumDigestCustomers * kMaximumDigestWindows,
               kCountBytes),
      .endpoints = Keep(digest.work, kMaximumDigestEndpoints, kEndpointBytes),
      .services = Keep(digest.demand, kMaximumDigestServices, kServiceBytes)};
}

LeftOutEntries KeepWithinBounds(DataCenterDigest& digest) {
  return LeftOutEntries{
      .customers =
          Keep(digest.customer_usage, kMaximumDigestCustomers, kCustomerBytes),
      .endpoints = Keep(digest.work, kMaximumDigestEndpoints, kEndpointBytes),
      .services = Keep(digest.demand, kMaximumDigestServices, kServiceBytes)};
}

}  // namespace pistachiowalk
