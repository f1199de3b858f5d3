#include "following/stream_origin_message.h"

#include <string>

#include "serving/service_versions.h"
#include "serving/stream_origin_record.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

// A message that is cut or longer is refused, and a whole one is read back.
template <class Message>
void CheckCodec(const Message& message) {
  const std::string bytes = EncodeMessage(message);
  cr_assert(DecodeMessage<Message>(bytes) == message);
  for (size_t size = 0; size < bytes.size(); ++size) {
    cr_assert(!DecodeMessage<Message>(bytes.substr(0, size)));
  }
  cr_assert(!DecodeMessage<Message>(bytes + "x"));
}

const StreamOrigin kOrigin{.service = ServiceName("chat"),
                           .version = SoftwareVersion("v1.2")};

}  // namespace

Test(stream_origin_message, a_cut_message_is_taken_for_a_whole_one) {
  CheckCodec(StreamOriginQuery{.key = StreamKey{42}});
  CheckCodec(StreamOriginReport{.key = StreamKey{42}, .origin = kOrigin});
  CheckCodec(StreamOriginReport{.key = StreamKey{42}, .is_unknown = true});
}

Test(stream_origin_message, a_cut_record_is_taken_for_a_whole_one) {
  CheckCodec(StreamOriginRecord{
      .streams = {RecordedStream{.key = StreamKey{1}, .origin = kOrigin},
                  RecordedStream{.key = StreamKey{2}, .origin = kOrigin}}});
  CheckCodec(ServedVersionsRecord{
      .versions = {ServedVersion{.service = kOrigin.service,
                                 .version = kOrigin.version,
                                 .left_at_ms = 1700000000000}}});
}
