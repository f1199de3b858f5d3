#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "membership/membership.h"
#include "membership/node_port.h"
#include "net/event_loop.h"
#include "net/node_transport.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace pistachiowalk {

struct NodeNetworkOptions {
  NodeId node;
  DataCenterName data_center;
  NodeAddress listen;
  std::vector<ClusterKey> keys;
  std::vector<NodeAddress> seeds;
};

// Runs the membership protocol over the node transport and delivers the
// messages of the other components.
class NodeNetwork final : public NodePort {
 public:
  using ChangeCallback = std::function<void(const Member& member)>;

  NodeNetwork(EventLoop& loop,
              const Clock& clock,
              prometheus::Registry& registry,
              NodeNetworkOptions options);
  ~NodeNetwork() override;

  // Opens the sockets and joins the membership. `http` is the address at which
  // this node serves callers.
  // Errors: NetError.
  boost::leaf::result<void> Open(const NodeAddress& http);
  // Announces to the other nodes that this node leaves.
  void Leave();
  // Sets the callback for each change of a member's state.
  void OnChange(ChangeCallback callback) { m_on_change = std::move(callback); }
  // Returns nullptr before Open.
  const Membership* membership() const { return m_membership.get(); }
  // Returns the zero address before Open.
  NodeAddress address() const;
  NodeTransportCounts counts() const;

  NodeId self() const override { return m_options.node; }
  std::vector<NodeView> LocalNodes() const override;
  std::vector<NodeView> GatewaysOf(
      const DataCenterName& data_center) const override;
  void Send(const NodeId& to,
            NodeMessageKind kind,
            std::string payload) override;
  void SendAcknowledged(const NodeId& to,
                        NodeMessageKind kind,
                        std::string payload,
                        DeliveryCallback callback) override;
  void OnMessage(NodeMessageKind kind, Handler handler) override;

 private:
  struct Gauges;

  void Tick();
  void OnEnvelope(const NodeEnvelope& envelope);
  void Perform(const MembershipCommands& commands);
  void UpdateGauges();

  EventLoop& m_loop;
  const Clock& m_clock;
  NodeNetworkOptions m_options;
  std::unique_ptr<Gauges> m_gauges;
  std::unique_ptr<NodeTransport> m_transport;
  std::unique_ptr<Membership> m_membership;
  std::unordered_map<NodeMessageKind, Handler> m_handlers;
  ChangeCallback m_on_change;
  uint64_t m_reported_refusals = 0;
  TimerId m_tick = 0;
};

}  // namespace pistachiowalk
