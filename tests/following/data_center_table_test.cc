#include "following/data_center_table.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::seconds;

const TimePoint kNow(seconds(100));
constexpr Duration kLifetime = seconds(5);

DataCenterDigest MakeDigest(const char* place,
                            const char* representative,
                            uint64_t sequence) {
  return DataCenterDigest{
      .data_center = DataCenterName(place),
      .representative = NodeId(representative),
      .incarnation = 1,
      .sequence = sequence,
      .nodes = 15,
      .duty_holder = NodeId("holder"),
      .work = {EndpointWork{.endpoint_key = 7, .requests = 3}},
      .customer_usage = {
          CustomerUsage{.customer = CustomerName("acme"),
                        .own = WindowUsage{{100.0, 50.0, 25.0, 0.0}}}}};
}

}  // namespace

Test(data_center_table, sums_the_digests_of_all_data_centres) {
  DataCenterTable table(DataCenterName("own"));
  cr_assert(table.Apply(MakeDigest("one", "a", 1), kNow));
  cr_assert(table.Apply(MakeDigest("two", "b", 1), kNow));
  cr_assert(table.WorkAt(7).requests == 6);
  cr_assert(table.NodeCount() == 30);
  cr_assert(table.DutyHolder() == NodeId("holder"));
}

Test(data_center_table, ignores_older_and_own_digests) {
  DataCenterTable table(DataCenterName("own"));
  cr_assert(table.Apply(MakeDigest("one", "a", 5), kNow));
  cr_assert(!table.Apply(MakeDigest("one", "a", 5), kNow));
  cr_assert(!table.Apply(MakeDigest("one", "a", 4), kNow));
  cr_assert(!table.Apply(MakeDigest("own", "c", 9), kNow));
  // A new representative has its own sequence numbers.
  cr_assert(table.Apply(MakeDigest("one", "b", 1), kNow));
  cr_assert(table.WorkAt(7).requests == 3);
}

Test(data_center_table, drops_a_silent_data_centre) {
  DataCenterTable table(DataCenterName("own"));
  table.Apply(MakeDigest("one", "a", 5), kNow);
  table.Step(kNow + kLifetime, kLifetime);
  cr_assert(table.IsKnown(DataCenterName("one")));
  table.Step(kNow + kLifetime + seconds(1), kLifetime);
  cr_assert(!table.IsKnown(DataCenterName("one")));
  cr_assert(table.WorkAt(7).requests == 0);
  cr_assert(!table.DutyHolder());
}

Test(data_center_table, a_digest_round_trips_and_malformed_bytes_are_rejected) {
  const DataCenterDigest digest = MakeDigest("one", "a", 9);
  const std::string bytes = EncodeMessage(digest);
  cr_assert(DecodeMessage<DataCenterDigest>(bytes) == digest);
  for (size_t size = 0; size < bytes.size(); ++size) {
    cr_assert(!DecodeMessage<DataCenterDigest>(bytes.substr(0, size)));
  }
  cr_assert(!DecodeMessage<DataCenterDigest>(bytes + "x"));
}
