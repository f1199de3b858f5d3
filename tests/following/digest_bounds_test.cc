#include "following/digest_bounds.h"

#include <string>

#include "following/data_center_digest.h"
#include "following/node_digest.h"

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
