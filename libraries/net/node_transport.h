#pragma once

#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Dgram.h>
#include <ace/SOCK_Stream.h>

#include <boost/leaf.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "membership/node_envelope.h"
#include "net/event_loop.h"
#include "net/node_frame.h"
#include "net/replay_filter.h"

namespace pistachiowalk {

struct NodeTransportOptions {
  // Port 0 selects an ephemeral port.
  NodeAddress listen;
  NodeId node;
  // Increases with each start of the node.
  uint64_t incarnation = 0;
  // The first key authenticates sent frames; see NodeFrameCodec.
  std::vector<ClusterKey> keys;
};

// Counters since the transport was created.
struct NodeTransportCounts {
  uint64_t sent_messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_messages = 0;
  uint64_t received_bytes = 0;
  // Messages that were truncated, altered, sealed with an unknown key or
  // replayed.
  uint64_t refused_messages = 0;

  friend auto operator<=>(const NodeTransportCounts&,
                          const NodeTransportCounts&) = default;
};

// Sends and receives authenticated messages between nodes: unacknowledged ones
// as UDP datagrams, acknowledged ones over one TCP connection each. Both use
// the same port number.
class NodeTransport {
 public:
  using Handler = std::function<void(const NodeEnvelope& envelope)>;
  using DeliveryCallback = std::function<void(bool is_delivered)>;

  // Errors: NetError if a socket cannot be opened or bound.
  static boost::leaf::result<std::unique_ptr<NodeTransport>> Create(
      EventLoop& loop,
      const Clock& clock,
      NodeTransportOptions options,
      Handler handler);
  ~NodeTransport();
  NodeTransport(const NodeTransport&) = delete;
  NodeTransport& operator=(const NodeTransport&) = delete;

  const NodeAddress& address() const { return m_options.listen; }
  const NodeTransportCounts& counts() const { return m_counts; }

  void Send(const NodeAddress& to, NodeMessageKind kind, std::string payload);
  // NOTE: The callback runs from the loop, never from within this call.
  void SendAcknowledged(const NodeAddress& to,
                        NodeMessageKind kind,
                        std::string payload,
                        DeliveryCallback callback);

 private:
  struct Incoming;
  struct Outgoing;

  NodeTransport(EventLoop& loop,
                const Clock& clock,
                NodeTransportOptions options,
                Handler handler);
  bool OpenSockets();
  std::string Seal(const NodeAddress& to,
                   NodeMessageKind kind,
                   std::string payload);
  void OnDatagrams();
  void OnConnection();
  void OnIncoming(int fd);
  void OnOutgoing(int fd, Readiness readiness);
  void EndIncoming(int fd);
  void EndOutgoing(int fd, bool is_delivered);
  // Authenticates a frame and passes its envelope to the handler. Returns the
  // index of the key that verified it, or nullopt if the frame was rejected.
  std::optional<size_t> ReceiveFrame(std::string_view frame);

  EventLoop& m_loop;
  const Clock& m_clock;
  NodeTransportOptions m_options;
  Handler m_handler;
  NodeFrameCodec m_codec;
  ReplayFilter m_replays;
  ACE_SOCK_Dgram m_datagrams;
  ACE_SOCK_Acceptor m_acceptor;
  std::unordered_map<int, std::unique_ptr<Incoming>> m_incoming;
  std::unordered_map<int, std::unique_ptr<Outgoing>> m_outgoing;
  uint64_t m_last_sequence = 0;
  NodeTransportCounts m_counts;
  // Posted tasks hold a weak pointer to it, to detect that the transport has
  // been destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
