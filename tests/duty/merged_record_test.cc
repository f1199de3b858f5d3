#include "duty/stream_record.h"
#include "duty/version_record.h"

#include <vector>

#include "support/fake_store.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

constexpr int64_t kNow = 1700000000000;
const ServiceName kChat("chat");

void List(ServiceVersions& versions, const std::string& version) {
  versions.Update({{kChat, SoftwareVersion(version)}}, kNow);
}

}  // namespace

Test(version_record, the_first_holder_never_trusts_its_own_record) {
  FakeStore store;
  ServiceVersions versions;
  List(versions, "v1");
  VersionRecord record(store, "versions", versions);
  for (int step = 0; step < 4; ++step) {
    record.Restore();
    store.AnswerAll();
    record.Write(kNow);
    store.AnswerAll();
  }
  cr_assert(versions.OnlyVersion(kChat, kNow) == SoftwareVersion("v1"));
}

Test(version_record, a_new_holder_drops_a_version_that_it_never_saw) {
  FakeStore store;
  ServiceVersions first;
  List(first, "v1");
  VersionRecord writer(store, "versions", first);
  writer.Restore();
  store.AnswerAll();
  writer.Write(kNow);
  store.AnswerAll();
  ServiceVersions second;
  List(second, "v2");
  VersionRecord other(store, "versions", second);
  other.Restore();
  store.AnswerAll();
  other.Write(kNow);
  store.AnswerAll();
  ServiceVersions third;
  VersionRecord reader(store, "versions", third);
  reader.Restore();
  store.AnswerAll();
  cr_assert(third.Record(kNow).versions.size() == 2);
  cr_assert(!third.OnlyVersion(kChat, kNow));
}

Test(version_record, a_version_that_came_and_left_unseen_is_never_read) {
  FakeStore store;
  ServiceVersions holder;
  List(holder, "v1");
  VersionRecord writer(store, "versions", holder);
  const auto write = [&] {
    writer.Restore();
    store.AnswerAll();
    writer.Write(kNow);
    store.AnswerAll();
  };
  write();
  ServiceVersions versions;
  List(versions, "v1");
  VersionRecord record(store, "versions", versions);
  record.Restore();
  store.AnswerAll();
  holder.Update(
      {{kChat, SoftwareVersion("v1")}, {kChat, SoftwareVersion("v2")}}, kNow);
  List(holder, "v1");
  write();
  cr_assert(versions.OnlyVersion(kChat, kNow) == SoftwareVersion("v1"));
  std::vector<bool> reads;
  const auto refresh = [&] {
    cr_assert(record.Refresh([&](bool is_read) { reads.push_back(is_read); }));
    cr_assert(!record.Refresh([](bool) {}));
    store.AnswerAll();
  };
  store.PlanFaults({StoreFault::kUnavailable});
  refresh();
  cr_assert(reads == std::vector<bool>{false});
  refresh();
  cr_assert((reads == std::vector<bool>{false, true}));
  cr_assert(!versions.OnlyVersion(kChat, kNow));
}

Test(stream_record, a_late_write_of_an_ended_process_hides_its_streams) {
  const auto record_of = [](uint64_t key) {
    return StreamOriginRecord{
        .streams = {RecordedStream{.key = StreamKey{key},
                                   .origin = {.service = kChat}}}};
  };
  FakeStore store;
  std::vector<StreamOriginRecord> restored;
  const auto restore = [&](const StreamOriginRecord& record) {
    restored.push_back(record);
  };
  StreamRecord ended(store, "streams/a", restore);
  StreamRecord started(store, "streams/a", restore);
  ended.Restore();
  started.Restore();
  store.AnswerAll();
  ended.Write(record_of(1), 1);
  store.AnswerAll();
  started.Write(record_of(2), 1);
  store.AnswerAll();
  cr_assert(restored == std::vector{record_of(1)});
}

Test(stream_record, an_unreadable_record_ends_the_process) {
  FakeStore store;
  store.CompareAndSwap("streams/a", 0, "\xff\xff\xff\xff",
                       [](const StoreResult&) {});
  store.AnswerAll();
  StreamRecord record(store, "streams/a",
                      [](const StreamOriginRecord&) { cr_assert(false); });
  record.Restore();
  store.AnswerAll();
  cr_assert(record.is_restored());
}
