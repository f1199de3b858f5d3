#include "serving/stream_origins.h"

#include "serving/own_streams.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
const StreamKey kKey = KeyOfStream(RequestId("9c41d07be2a35f68"));

StreamOrigin At(const std::string& version) {
  return StreamOrigin{.service = ServiceName("chat"),
                      .version = SoftwareVersion(version)};
}

bool NeedsAll(const ServiceName&) {
  return true;
}

}  // namespace

Test(stream_origins, an_origin_is_forgotten_while_the_stream_is_resumed) {
  StreamOrigins origins;
  origins.ExtendLifetime(seconds(45));
  origins.Record(kKey, At("v1"), kStart);
  origins.Record(kKey, At("v1"), kStart + seconds(40));
  origins.Step(kStart + seconds(84));
  cr_assert(origins.Find(kKey, kStart + seconds(84)) == At("v1"));
  origins.Step(kStart + seconds(85));
  cr_assert(!origins.Find(kKey, kStart + seconds(85)));
  cr_assert(origins.size() == 0);
}

Test(stream_origins, a_stream_with_two_origins_is_continued_at_one) {
  StreamOrigins origins;
  origins.Record(kKey, At("v1"), kStart);
  origins.Record(kKey, At("v2"), kStart);
  origins.Record(kKey, At("v2"), kStart);
  cr_assert(!origins.Find(kKey, kStart));
}

Test(stream_origins, origins_grow_without_bound) {
  StreamOrigins origins;
  for (uint64_t key = 0; key < 200000; ++key) {
    origins.Record(StreamKey{key}, At("v1"), kStart);
  }
  cr_assert(origins.size() <= 65536);
  cr_assert(origins.Find(StreamKey{199999}, kStart) == At("v1"));
}

Test(own_streams, a_stream_that_broke_off_is_not_recorded) {
  OwnStreams streams;
  streams.NoteBegun(kKey, At("v1"));
  streams.NoteBegun(StreamKey{1}, At("v1"));
  streams.NoteEnded(kKey, false, kStart);
  streams.NoteEnded(StreamKey{1}, true, kStart);
  const StreamOriginRecord record = streams.Record(NeedsAll);
  cr_assert(record.streams.size() == 1 && record.streams[0].key == kKey);
  streams.Step(seconds(45), kStart + seconds(45));
  cr_assert(streams.Record(NeedsAll).streams.empty());
}

Test(own_streams, a_second_restart_forgets_the_streams_of_the_first) {
  OwnStreams before;
  before.NoteBegun(kKey, At("v1"));
  OwnStreams after;
  after.Restore(before.Record(NeedsAll), kStart);
  after.NoteBegun(StreamKey{1}, At("v2"));
  cr_assert(after.Record(NeedsAll).streams.size() == 2);
}

Test(own_streams, streams_of_a_service_with_one_version_are_recorded) {
  OwnStreams streams;
  streams.NoteBegun(kKey, At("v1"));
  cr_assert(
      streams.Record([](const ServiceName&) { return false; }).streams.empty());
}
