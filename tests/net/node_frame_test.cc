#include "net/node_frame.h"

#include "net/replay_filter.h"
#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

const NodeAddress kOwnAddress{0x7f000001, 7001};
const NodeAddress kOtherAddress{0x7f000001, 7002};

ClusterKey KeyOf(uint8_t byte) {
  ClusterKey key;
  key.fill(byte);
  return key;
}

NodeEnvelope Envelope(uint64_t incarnation, uint64_t sequence) {
  return NodeEnvelope{.sender = NodeId("n1"),
                      .incarnation = incarnation,
                      .sequence = sequence,
                      .kind = NodeMessageKind::kGossip,
                      .payload = "payload"};
}

}  // namespace

Test(node_frame, opens_what_was_sealed_for_this_address) {
  const NodeFrameCodec codec({KeyOf(1)});
  const std::string frame = codec.Seal(Envelope(1, 1), kOwnAddress);
  cr_assert(codec.Open(frame, kOwnAddress)->envelope == Envelope(1, 1));
  cr_assert(!codec.Open(frame, kOtherAddress));
}

Test(node_frame, refuses_each_truncation_and_alteration) {
  const NodeFrameCodec codec({KeyOf(1)});
  const std::string frame = codec.Seal(Envelope(1, 1), kOwnAddress);
  for (size_t i = 0; i < frame.size(); ++i) {
    cr_assert(!codec.Open(frame.substr(0, i), kOwnAddress));
    std::string altered = frame;
    altered[i] = static_cast<char>(altered[i] ^ 1);
    cr_assert(!codec.Open(altered, kOwnAddress));
  }
  cr_assert(!codec.Open(frame + "x", kOwnAddress));
}

Test(node_frame, key_rotation_keeps_nodes_connected) {
  const NodeFrameCodec old_only({KeyOf(1)});
  const NodeFrameCodec old_first({KeyOf(1), KeyOf(2)});
  const NodeFrameCodec new_first({KeyOf(2), KeyOf(1)});
  const NodeFrameCodec new_only({KeyOf(2)});
  const auto opens = [](const NodeFrameCodec& to, const NodeFrameCodec& from) {
    return to.Open(from.Seal(Envelope(1, 1), kOwnAddress), kOwnAddress)
        .has_value();
  };
  cr_assert(opens(old_first, old_only) && opens(old_only, old_first));
  cr_assert(opens(old_first, new_first) && opens(new_first, old_first));
  cr_assert(opens(new_only, new_first) && opens(new_first, new_only));
  cr_assert(!opens(new_only, old_only) && !opens(old_only, new_only));
}

Test(replay_filter, table_of_sequences) {
  struct Case {
    const char* name;
    uint64_t incarnation;
    uint64_t sequence;
    bool expected;
  };
  const Case cases[] = {
      {"first", 5, 10, true},
      {"the same again", 5, 10, false},
      {"next", 5, 11, true},
      {"late within the window", 5, 3, true},
      {"late one again", 5, 3, false},
      {"far ahead", 5, 500, true},
      {"behind the window", 5, 12, false},
      {"older incarnation", 4, 900, false},
      {"newer incarnation", 6, 1, true},
      {"replay of the older incarnation", 5, 501, false},
  };
  ReplayFilter filter;
  for (const Case& item : cases) {
    const bool is_new =
        filter.Accept(Envelope(item.incarnation, item.sequence), TimePoint{});
    cr_assert(is_new == item.expected, "%s", item.name);
  }
}
