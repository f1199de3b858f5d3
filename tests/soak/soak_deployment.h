#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/system_clock.h"
#include "net/event_loop.h"
#include "platform/fake_caller.h"
#include "platform/fake_cloud_service.h"
#include "platform/fake_endpoint.h"
#include "platform/fake_platform_text.h"
#include "platform/fake_store_service.h"
#include "soak/invariant_checker.h"
#include "soak/loopback_proxy.h"
#include "support/child_process.h"

namespace pistachiowalk::testing {

enum class NodeState : uint8_t { kDown, kRunning, kPaused, kStopping };

// The size of an deployment.
struct DeploymentSize {
  size_t nodes = 8;
  size_t data_centers = 3;
  size_t endpoints_per_group = 4;
  size_t callers = 24;
};

// One deployment on loopback: gateways as processes of their own, between
// callers and endpoints of this process, with a proxy on each link.
class SoakDeployment {
 public:
  // `folder` takes the nodes' settings and logs.
  SoakDeployment(EventLoop& loop,
                 InvariantChecker& checker,
                 DeploymentSize size,
                 std::string folder,
                 uint64_t seed);
  ~SoakDeployment();

  // Ends the callers' load; requests that are open go on.
  void StopCallers();
  bool AreCallersIdle() const;

  size_t node_count() const { return m_nodes.size(); }
  NodeState StateOf(size_t node) const { return m_nodes[node].state; }
  void StartNode(size_t node);
  // Kills the process; it is started again after `down`.
  void KillNode(size_t node, Duration down);
  // SIGTERM; it is started again once it has ended.
  void StopNode(size_t node);
  void PauseNode(size_t node, Duration pause);
  void ReloadSettings(size_t node);
  // Harms a node's link to the store, or to its callers, for a time.
  void InjectStoreLinkFault(size_t node,
                            const ProxyFault& fault,
                            Duration time);
  void InjectCallerLinkFault(size_t node,
                             const ProxyFault& fault,
                             Duration time);
  void ResetCallers(size_t node);
  void BlackholeStoreLink(size_t node);

  FakeStoreService& store() { return m_store; }
  FakeCloudService& cloud() { return m_cloud; }
  // Harms the store for all nodes.
  void InjectStoreFault(FakeStoreMode mode, Duration time);

  size_t endpoint_count() const { return m_endpoints.size(); }
  void InjectEndpointFault(size_t endpoint,
                           FakeEndpointMode mode,
                           Duration time);
  // The endpoint ends at once; its entry lapses later and another one comes.
  void CrashEndpoint(size_t endpoint);
  // The endpoint says that it leaves, serves on for a while and ends.
  void DrainEndpoint(size_t endpoint);
  void InjectEndpointLinkFault(size_t endpoint,
                               const ProxyFault& fault,
                               Duration time);
  void ResetEndpointLinks(size_t endpoint);

  // Changes of the config: a route goes to another service, a key is taken
  // away and given back under another name, a customer's limit changes.
  void MoveRoute(std::mt19937_64& random);
  void ReplaceKey(std::mt19937_64& random);
  void ChangeLimit(std::mt19937_64& random);
  // Gives all customers their usual limits again.
  void RestoreLimits();

  // Whether each node is running and not harmed.
  bool AreAllNodesRunning() const;

 private:
  struct Node {
    FakeSettings settings;
    std::string settings_file;
    std::string log_file;
    std::unique_ptr<LoopbackProxy> store_link;
    std::unique_ptr<LoopbackProxy> caller_link;
    SocketAddress proxy_address;
    std::unique_ptr<ChildProcess> process;
    NodeState state = NodeState::kDown;
    TimePoint started_at{};
    // Callers are sent there from then on.
    TimePoint ready_at{};
    TimePoint restart_at{};
  };
  struct Endpoint {
    std::string data_center;
    SocketAddress address;
    SocketAddress proxy_address;
    std::unique_ptr<LoopbackProxy> link;
    std::unique_ptr<FakeEndpoint> process;
    std::string service;
    bool is_leaving = false;
    uint64_t starts = 0;
  };

  void CreateNodes(size_t count);
  void CreateEndpoints(size_t each);
  void StartEndpoint(size_t endpoint);
  void ReplaceEndpoint(size_t endpoint);
  void SetRate(FakeCustomer& customer, double rate);
  void PublishConfig();
  CallerTarget ChooseNode(std::mt19937_64& random) const;
  void WatchNodes();
  void RecordNodeFault(size_t node, Duration time);
  std::string HostIp(size_t host) const;

  EventLoop& m_loop;
  SystemClock m_clock;
  InvariantChecker& m_checker;
  std::string m_folder;
  uint64_t m_seed;
  std::vector<std::string> m_data_centers;
  FakeConfig m_config;
  FakeStoreService m_store;
  FakeCloudService m_cloud;
  std::vector<Node> m_nodes;
  std::vector<Endpoint> m_endpoints;
  std::vector<std::unique_ptr<FakeCaller>> m_callers;
  uint64_t m_keys = 0;
};

}  // namespace pistachiowalk::testing
