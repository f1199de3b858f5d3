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
  // Port 0 takes an ephemeral one.
  NodeAddress listen;
  NodeId node;
  // Rises with each start of the node.
  uint64_t incarnation = 0;
  // The first signs; see NodeFrameCodec.
  std::vector<ClusterKey> keys;
};

// Counts since the start.
struct NodeTransportCounts {
  uint64_t sent_messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_messages = 0;
  uint64_t received_bytes = 0;
  // Truncated, altered, from strangers, replayed.
  uint64_t refused_messages = 0;

  friend auto operator<=>(const NodeTransportCounts&,
                          const NodeTransportCounts&) = default;
};

// Authenticated messages between nodes: datagrams by UDP, acknowledged
// messages by one TCP connection each, on the same port.
class NodeTransport {
 public:
  using Handler = std::function<void(const NodeEnvelope& envelope)>;
  using DeliveryCallback = std::function<void(bool is_delivered)>;

  // Errors: NetError when a socket cannot be had.
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
  // NOTE: The callback comes from the loop, never from within this call.
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
  // Authenticates a frame and hands it on; the key that opened it.
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
  // Lets tasks that were posted find out that the transport is gone.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace pistachiowalk
