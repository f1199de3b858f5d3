#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "membership/node_envelope.h"

namespace pistachiowalk {

// A live entry node in the membership's view.
struct NodeView {
  NodeId node;
  DataCenterName data_center;
  // Base URL of its HTTP server, for callers and peers.
  std::string http_url;

  friend auto operator<=>(const NodeView&, const NodeView&) = default;
};

// Interface for messaging between entry nodes. Delivery is not guaranteed:
// messages may be lost, duplicated, delayed or reordered. The sender of each
// received message is authenticated.
class NodePort {
 public:
  using Handler = std::function<void(const NodeEnvelope& envelope)>;
  // `is_delivered` is true if the peer acknowledged the message. If it is
  // false, the message may or may not have arrived.
  using DeliveryCallback = std::function<void(bool is_delivered)>;

  virtual ~NodePort() = default;

  virtual NodeId self() const = 0;
  // Live nodes of this data centre, including this one, sorted by name.
  virtual std::vector<NodeView> LocalNodes() const = 0;
  // Gateways of another data centre that are live according to its digests.
  virtual std::vector<NodeView> GatewaysOf(
      const DataCenterName& data_center) const = 0;

  // Sends one datagram of at most kMaximumDatagramPayload bytes.
  virtual void Send(const NodeId& to,
                    NodeMessageKind kind,
                    std::string payload) = 0;
  // Sends a message of up to kMaximumMessagePayload bytes over TCP.
  virtual void SendAcknowledged(const NodeId& to,
                                NodeMessageKind kind,
                                std::string payload,
                                DeliveryCallback callback) = 0;
  // Registers the handler for one kind of message.
  virtual void OnMessage(NodeMessageKind kind, Handler handler) = 0;
};

// Largest payload of a datagram, in bytes.
constexpr size_t kMaximumDatagramPayload = 1200;
// Largest payload of a TCP message, in bytes.
constexpr size_t kMaximumMessagePayload = 4 * 1024 * 1024;

}  // namespace pistachiowalk
