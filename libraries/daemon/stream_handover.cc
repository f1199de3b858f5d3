#include "daemon/stream_handover.h"

#include "base/bounded_codec.h"
#include "membership/node_port.h"

namespace pistachiowalk {
namespace {

constexpr size_t kMaximumRequestIdBytes = 256;
constexpr size_t kMaximumTokenBytes = 64 * 1024;
constexpr size_t kMaximumTokens = 1024 * 1024;

// The wire format of a handover.
struct HandoverMessage {
  StreamHandover handover;
};

template <class Archive>
void serialize(Archive& archive, HandoverMessage& message) {
  StreamHandover& handover = message.handover;
  std::string request = handover.request.value();
  ArchiveText(archive, request, kMaximumRequestIdBytes);
  handover.request = RequestId(std::move(request));
  ArchiveName(archive, handover.customer);
  ArchiveName(archive, handover.service);
  archive(handover.remaining_milliseconds);
  ArchiveText(archive, handover.body, kMaximumMessagePayload);
  const size_t count =
      ArchiveLength(archive, handover.tokens.size(), kMaximumTokens);
  handover.tokens.resize(count);
  for (std::string& token : handover.tokens) {
    ArchiveText(archive, token, kMaximumTokenBytes);
  }
}

}  // namespace

std::string EncodeStreamHandover(const StreamHandover& handover) {
  return EncodeMessage(HandoverMessage{handover});
}

std::optional<StreamHandover> DecodeStreamHandover(std::string_view bytes) {
  auto message = DecodeMessage<HandoverMessage>(bytes);
  if (!message) {
    return std::nullopt;
  }
  return std::move(message->handover);
}

}  // namespace pistachiowalk
