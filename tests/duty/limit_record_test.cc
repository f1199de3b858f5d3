#include "duty/limit_record.h"

#include "support/fake_store.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

const std::chrono::system_clock::time_point kWall(
    std::chrono::milliseconds(1700000000123));
const CustomerUsages kUse = {
    {CustomerName("acme"), WindowUsage{{800.0, 300.0, 100.0, 0.0}}},
    {CustomerName("b=c"), WindowUsage{{0.0, 0.0, 0.0, 3.0}}}};

}  // namespace

Test(limit_record, what_is_written_is_restored) {
  FakeStore store;
  LimitRecord writer(store, "limits");
  writer.Write(kUse, kWall);
  store.AnswerAll();
  LimitRecord reader(store, "limits");
  CustomerUsages restored;
  std::chrono::system_clock::time_point at;
  reader.Restore([&](const CustomerUsages& use, auto wall) {
    restored = use;
    at = wall;
  });
  store.AnswerAll();
  cr_assert(restored == kUse);
  cr_assert(at == kWall);
  // A restored record can be overwritten.
  reader.Write(kUse, kWall + std::chrono::seconds(1));
  store.AnswerAll();
  cr_assert(store.ValueAt("limits").starts_with("1700000001123"));
}

Test(limit_record, a_lost_answer_does_not_stop_later_writes) {
  FakeStore store;
  LimitRecord writer(store, "limits");
  store.PlanFaults({StoreFault::kAnswerLost});
  writer.Write(kUse, kWall);
  store.AnswerAll();
  writer.Write(kUse, kWall + std::chrono::seconds(1));
  store.AnswerAll();
  writer.Write(kUse, kWall + std::chrono::seconds(2));
  store.AnswerAll();
  cr_assert(store.ValueAt("limits").starts_with("1700000002123"));
}

Test(limit_record, rejects_malformed_records) {
  CustomerUsages use;
  std::chrono::system_clock::time_point wall;
  cr_assert(!ParseLimitRecord("", use, wall));
  cr_assert(!ParseLimitRecord("x\n", use, wall));
  cr_assert(!ParseLimitRecord("1\nacme\n", use, wall));
  cr_assert(!ParseLimitRecord("1\nacme=1 2\n", use, wall));
}

// Guards against a record that the store refuses, so that none is kept at all.
Test(limit_record, any_number_of_customers_fits_the_store) {
  constexpr size_t kStoreBytes = 1024 * 1024;
  for (const size_t name_bytes : {10, 900, 5000, 700000}) {
    CustomerUsages usages;
    for (int i = 0; i < 2500; ++i) {
      const std::string number = std::to_string(10000 + i);
      usages[CustomerName(number + std::string(name_bytes, 'x'))] =
          WindowUsage{{double(i), 0.0, 0.0, 0.0}};
    }
    usages[CustomerName("largest")] = WindowUsage{{1e6, 0.0, 0.0, 0.0}};
    const LimitRecordText record = FormatLimitRecord(usages, kWall);
    cr_assert(record.text.size() * 4 / 3 + 4 <= kStoreBytes);
    CustomerUsages restored;
    std::chrono::system_clock::time_point wall;
    cr_assert(ParseLimitRecord(record.text, restored, wall));
    cr_assert(restored.size() + record.left_out == usages.size());
    cr_assert(restored.contains(CustomerName("largest")));
    cr_assert(name_bytes > 10 || restored == usages);
  }
}
