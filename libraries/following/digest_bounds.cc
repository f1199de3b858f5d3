#include "following/digest_bounds.h"

#include <algorithm>
#include <utility>
#include <vector>

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

// Returns the number of entries left out. The entries with the highest
// `rank_of` are kept.
template <class Entry, class Rank>
size_t Keep(std::vector<Entry>& entries,
            size_t most,
            size_t most_bytes,
            const Rank& rank_of) {
  const size_t count = entries.size();
  std::erase_if(entries,
                [](const Entry& entry) { return !HasEncodableName(entry); });
  size_t bytes = 0;
  for (const Entry& entry : entries) {
    bytes += EncodedBytes(entry);
  }
  if (entries.size() <= most && bytes <= most_bytes) {
    return count - entries.size();
  }
  std::vector<std::pair<double, Entry>> ranked;
  for (Entry& entry : entries) {
    const double rank = rank_of(entry);
    ranked.emplace_back(rank, std::move(entry));
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  entries.clear();
  bytes = 0;
  for (auto& [rank, entry] : ranked) {
    bytes += EncodedBytes(entry);
    if (entries.size() == most || bytes > most_bytes) {
      break;
    }
    entries.push_back(std::move(entry));
  }
  return count - entries.size();
}

template <class Entry>
size_t Keep(std::vector<Entry>& entries, size_t most, size_t most_bytes) {
  return Keep(entries, most, most_bytes,
              [](const Entry& entry) { return RankOf(entry); });
}

size_t KeepCustomers(std::vector<CustomerUsage>& entries,
                     const AllowedUsageOf& allowed_usage_of) {
  return Keep(entries, kMaximumDigestCustomers, kCustomerBytes,
              [&](const CustomerUsage& usage) {
                if (!allowed_usage_of) {
                  return RankOf(usage);
                }
                const double allowed = allowed_usage_of(usage.customer);
                return allowed > 0.0 ? RankOf(usage) / allowed : 0.0;
              });
}

}  // namespace

LeftOutEntries KeepWithinBounds(NodeDigest& digest,
                                const AllowedUsageOf& allowed_usage_of) {
  return LeftOutEntries{
      .customers = KeepCustomers(digest.customer_usage, allowed_usage_of),
      .counts =
          Keep(digest.started, kMaximumDigestCustomers * kMaximumDigestWindows,
               kCountBytes),
      .endpoints = Keep(digest.work, kMaximumDigestEndpoints, kEndpointBytes),
      .services = Keep(digest.demand, kMaximumDigestServices, kServiceBytes)};
}

LeftOutEntries KeepWithinBounds(DataCenterDigest& digest,
                                const AllowedUsageOf& allowed_usage_of) {
  return LeftOutEntries{
      .customers = KeepCustomers(digest.customer_usage, allowed_usage_of),
      .endpoints = Keep(digest.work, kMaximumDigestEndpoints, kEndpointBytes),
      .services = Keep(digest.demand, kMaximumDigestServices, kServiceBytes)};
}

std::set<CustomerName> LeftOutCustomers(const NodeDigest& before,
                                        const NodeDigest& kept) {
  std::set<CustomerName> left_out;
  for (const CustomerUsage& usage : before.customer_usage) {
    left_out.insert(usage.customer);
  }
  for (const CustomerUsage& usage : kept.customer_usage) {
    left_out.erase(usage.customer);
  }
  return left_out;
}

}  // namespace pistachiowalk
