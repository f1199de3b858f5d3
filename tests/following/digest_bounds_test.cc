#include "following/digest_bounds.h"

#include <algorithm>
#include <string>
#include <vector>

#include "following/data_center_digest.h"
#include "following/node_digest.h"
#include "serving/customer_limits.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr size_t kMaximumDatagramBytes = 65507;

NodeDigest MakeDigest(size_t entries, size_t name_bytes) {
  NodeDigest digest{.node = NodeId("node")};
  for (size_t i = 0; i < entries; ++i) {
    std::string name = std::to_string(i);
    name.resize(std::max(name.size(), name_bytes), 'x');
    WindowUsage usage;
    usage.by_age.front() = static_cast<double>(i);
    const auto number = static_cast<uint32_t>(i);
    digest.customer_usage.push_back(
        CustomerUsage{.customer = CustomerName(name), .own = usage});
    digest.started.push_back(StartedCount{
        .window = 1, .customer = CustomerName(name), .started = number});
    digest.work.push_back(EndpointWork{.endpoint_key = i, .requests = number});
    digest.demand.push_back(
        ServiceDemand{.service = ServiceName(name),
                      .prompt_tokens_per_second = static_cast<double>(i)});
  }
  return digest;
}

}  // namespace

Test(digest_bounds, any_names_and_numbers_of_entries_can_be_sent) {
  for (const size_t entries : {0, 1, 40, 1024, 1025, 5000, 70000}) {
    for (const size_t name_bytes : {1, 64, 65, 71, 1024, 1025, 5000}) {
      if (entries * name_bytes > 20000000) {
        continue;
      }
      NodeDigest digest = MakeDigest(entries, name_bytes);
      KeepWithinBounds(digest);
      const std::string bytes = EncodeMessage(digest);
      cr_assert(bytes.size() < kMaximumDatagramBytes, "%zu entries, %zu bytes",
                entries, name_bytes);
      cr_assert(DecodeMessage<NodeDigest>(bytes).has_value(),
                "%zu entries, %zu bytes", entries, name_bytes);
      const NodeDigest sums = MakeDigest(entries, name_bytes);
      DataCenterDigest of_data_center{.data_center = DataCenterName("one"),
                                      .work = sums.work,
                                      .customer_usage = sums.customer_usage,
                                      .demand = sums.demand};
      KeepWithinBounds(of_data_center);
      cr_assert(EncodeMessage(of_data_center).size() < kMaximumDatagramBytes);
    }
  }
}

Test(digest_bounds, the_largest_entries_are_kept_and_the_others_counted) {
  NodeDigest digest = MakeDigest(5000, 8);
  const LeftOutEntries left_out = KeepWithinBounds(digest);
  cr_assert(digest.customer_usage.front().customer.value().starts_with("4999"));
  cr_assert(left_out.customers + digest.customer_usage.size() == 5000);
  cr_assert(left_out.endpoints + digest.work.size() == 5000);
}

Test(digest_bounds, a_digest_within_its_bounds_stays_as_it_is) {
  NodeDigest digest = MakeDigest(40, 20);
  const NodeDigest before = digest;
  cr_assert(KeepWithinBounds(digest).is_empty());
  cr_assert(digest == before);
}

// Guards against a customer that gets its limit once from each node.
Test(digest_bounds, a_customer_that_is_left_out_keeps_its_limit) {
  constexpr size_t kNodes = 4;
  constexpr size_t kCustomers = 1000;
  constexpr double kOverage = 0.1;
  constexpr auto kWindow = std::chrono::seconds(8);
  constexpr auto kStep = std::chrono::milliseconds(200);
  const CustomerLimit limit{.rate_per_second = 4.0, .burst = 8.0};
  const double allowed = 4.0 * 8 + 8.0;
  std::vector<CustomerLimits> nodes(kNodes, CustomerLimits(kWindow));
  std::vector<CustomerName> customers;
  for (size_t i = 0; i < kCustomers; ++i) {
    customers.emplace_back(std::to_string(i) + std::string(60, 'x'));
  }
  std::vector<double> used(kCustomers);
  TimePoint now{std::chrono::hours(1)};
  for (CustomerLimits& node : nodes) {
    node.SetNodes(kNodes, kNodes);
    node.SetStaleness(2 * kStep);
  }
  for (const TimePoint end = now + kWindow; now < end; now += kStep) {
    for (CustomerLimits& node : nodes) {
      for (size_t i = 0; i < kCustomers; ++i) {
        used[i] += node.TryAcquire(customers[i], limit, 1.0, now).is_within;
      }
    }
    for (size_t from = 0; from < kNodes; ++from) {
      NodeDigest digest{.node = NodeId(std::to_string(from))};
      for (const auto& [customer, usage] : nodes[from].OwnUsage(now)) {
        digest.customer_usage.push_back(
            CustomerUsage{.customer = customer, .own = usage});
      }
      const NodeDigest whole = digest;
      KeepWithinBounds(digest, [&](const CustomerName&) { return allowed; });
      nodes[from].SetUnreported(LeftOutCustomers(whole, digest));
      CustomerUsages told;
      for (const CustomerUsage& usage : digest.customer_usage) {
        told[usage.customer] = usage.own;
      }
      for (size_t to = 0; to < kNodes; ++to) {
        if (to != from) {
          nodes[to].SetPeerUsage(digest.node, 1, told, {}, now);
        }
      }
    }
  }
  const double most = *std::max_element(used.begin(), used.end());
  cr_assert(most <= allowed * (1.0 + kOverage), "%.0f of %.0f", most, allowed);
}

// Guards against a customer that is refused below its limit.
Test(digest_bounds, the_customers_nearest_to_their_limits_are_kept) {
  NodeDigest digest = MakeDigest(5000, 8);
  const CustomerName small = digest.customer_usage[7].customer;
  KeepWithinBounds(digest, [&](const CustomerName& customer) {
    return customer == small ? 7.0 : 1e6;
  });
  cr_assert(digest.customer_usage.front().customer == small);
}
