#include "net/node_transport.h"

#include <ace/INET_Addr.h>

#include "base/system_clock.h"
#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr uint32_t kLoopback = 0x7f000001;
constexpr Duration kLongestTest = std::chrono::seconds(20);

ClusterKey KeyOf(uint8_t byte) {
  ClusterKey key;
  key.fill(byte);
  return key;
}

// Two transports on one event loop; `second_key` is the key of the second.
struct TransportPair {
  explicit TransportPair(uint8_t second_key) {
    loop.Schedule(kLongestTest, [this] { loop.Stop(); });
    first = Make("n1", 1);
    second = Make("n2", second_key);
  }

  std::unique_ptr<NodeTransport> Make(const char* node, uint8_t key) {
    NodeTransportOptions options{.listen = {kLoopback, 0},
                                 .node = NodeId(node),
                                 .incarnation = 1,
                                 .keys = {KeyOf(key)}};
    return NodeTransport::Create(loop, clock, options,
                                 [this](const NodeEnvelope& envelope) {
                                   received.push_back(envelope);
                                   if (received.size() == expected_messages) {
                                     loop.Stop();
                                   }
                                 })
        .value();
  }

  SystemClock clock;
  EventLoop loop;
  std::vector<NodeEnvelope> received;
  size_t expected_messages = 1;
  std::unique_ptr<NodeTransport> first;
  std::unique_ptr<NodeTransport> second;
};

}  // namespace

Test(node_transport, datagram_arrives) {
  TransportPair pair(1);
  pair.first->Send(pair.second->address(), NodeMessageKind::kGossip, "hello");
  pair.loop.Run();
  cr_assert(pair.received.size() == 1);
  cr_assert(pair.received.front().payload == "hello");
  cr_assert(pair.received.front().sender == NodeId("n1"));
}

Test(node_transport, large_message_is_acknowledged) {
  TransportPair pair(1);
  pair.expected_messages = 0;
  const std::string payload(1500000, 'x');
  bool is_delivered = false;
  pair.first->SendAcknowledged(pair.second->address(),
                               NodeMessageKind::kBundleContent, payload,
                               [&](bool result) {
                                 is_delivered = result;
                                 pair.loop.Stop();
                               });
  pair.loop.Run();
  cr_assert(is_delivered);
  cr_assert(pair.received.size() == 1);
  cr_assert(pair.received.front().payload == payload);
}

Test(node_transport, frames_sealed_with_another_key_are_refused) {
  TransportPair pair(2);
  bool is_delivered = true;
  pair.first->Send(pair.second->address(), NodeMessageKind::kGossip, "hello");
  pair.first->SendAcknowledged(pair.second->address(), NodeMessageKind::kGossip,
                               "hello", [&](bool result) {
                                 is_delivered = result;
                                 pair.loop.Stop();
                               });
  pair.loop.Run();
  cr_assert(!is_delivered);
  cr_assert(pair.received.empty());
  cr_assert(pair.second->counts().refused_messages == 2);
}

Test(node_transport, replayed_and_truncated_datagrams_are_dropped) {
  TransportPair pair(1);
  const NodeFrameCodec codec({KeyOf(1)});
  const NodeAddress to = pair.second->address();
  const auto frame = [&](uint64_t sequence) {
    return codec.Seal({.sender = NodeId("n9"),
                       .incarnation = 1,
                       .sequence = sequence,
                       .kind = NodeMessageKind::kGossip,
                       .payload = "hello"},
                      to);
  };
  ACE_SOCK_Dgram socket;
  socket.open(ACE_INET_Addr(static_cast<u_short>(0), kLoopback));
  const auto send = [&](const std::string& bytes) {
    socket.send(bytes.data(), bytes.size(), ACE_INET_Addr(to.port, to.ip));
  };
  const std::string first = frame(1);
  send(first);
  send(first);
  send(first.substr(0, first.size() - 1));
  send("");
  send(frame(2));
  pair.expected_messages = 2;
  pair.loop.Run();
  socket.close();
  cr_assert(pair.received.size() == 2);
  cr_assert(pair.received.back().sequence == 2);
}

Test(node_transport, a_message_to_a_closed_port_is_not_delivered) {
  TransportPair pair(1);
  const NodeAddress gone = pair.second->address();
  pair.second.reset();
  bool is_delivered = true;
  pair.first->SendAcknowledged(gone, NodeMessageKind::kGossip, "hello",
                               [&](bool result) {
                                 is_delivered = result;
                                 pair.loop.Stop();
                               });
  pair.loop.Run();
  cr_assert(!is_delivered);
}
