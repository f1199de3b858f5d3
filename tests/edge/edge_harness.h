#pragma once

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/system_clock.h"
#include "duty/usage_ledger.h"
#include "edge/edge_context.h"
#include "edge/edge_metrics.h"
#include "following/cluster_time.h"
#include "following/endpoint_catalog.h"
#include "http1/http_service.h"
#include "http1/tcp_listener.h"
#include "platform/header_format.h"
#include "rollout/rollout_node.h"
#include "serving/customer_limits.h"
#include "serving/prompt_quarantine.h"
#include "serving/stream_origins.h"
#include "serving/worker_limits.h"
#include "upstream/endpoint_registry.h"

namespace pistachiowalk::testing {

// An endpoint with scripted responses: after each complete request it sends the
// next step's text, with "{id}" replaced by the request's id, and then performs
// the step's `after` action.
class ScriptedEndpoint {
 public:
  enum class After {
    kKeep,
    kClose,
    kReset,
    // All connections are reset, and new ones are refused.
    kCrash
  };
  struct Step {
    std::string text;
    After after = After::kKeep;
  };

  ScriptedEndpoint(EventLoop& loop, uint16_t port, std::vector<Step> steps);

  // Sends bytes on all connections.
  void SendToAll(const std::string& bytes);
  // Closes all connections in an orderly way.
  void CloseAll();

  // The raw requests received.
  std::vector<std::string> requests;
  int connections = 0;
  int closed = 0;
  EndpointId endpoint_id;

 private:
  struct Peer;
  void Crash();
  void OnReceived(const std::shared_ptr<Peer>& peer);

  EventLoop& m_loop;
  std::vector<Step> m_steps;
  size_t m_next = 0;
  std::unique_ptr<TcpListener> m_listener;
  std::vector<std::shared_ptr<Peer>> m_peers;
};

// The edge of one node on loopback, with one service and scripted endpoints.
class EdgeHarness {
 public:
  EdgeHarness();

  // Adds an endpoint; the first one added is the nearest.
  ScriptedEndpoint& AddEndpoint(std::vector<ScriptedEndpoint::Step> steps,
                                const std::string& version = "v1");
  // Removes an endpoint's entry.
  void RemoveEndpoint(const ScriptedEndpoint& endpoint);
  // Adds an endpoint on whose address nothing listens.
  void AddUnreachableEndpoint();
  // Lists all endpoints again, as they are or as a new start of each.
  void FollowAgain();
  void RestartEndpoints();
  // Sends a request and returns all bytes received until the connection closes,
  // for at most 5 s.
  std::string Send(const std::string& headers,
                   const std::string& path = "/call/x",
                   const std::string& method = "GET");
  // Sends a request and closes the connection after `time`.
  void SendAndLeave(const std::string& headers,
                    const std::string& path,
                    const std::string& method,
                    std::chrono::milliseconds time);
  // Runs the node for `time`.
  void Wait(std::chrono::milliseconds time);
  bool RunUntil(const std::function<bool()>& is_over);

  EventLoop loop;
  ServingConfig config;
  CustomerLimits limits{std::chrono::seconds(8)};
  UsageLedger usage{std::chrono::milliseconds(5000)};
  // As of a node that has run for a while.
  PromptQuarantine quarantine;
  // The node is the only one that may send to limited workers.
  WorkerLimits worker_limits;
  RolloutNode rollouts;
  // What all nodes know of the streams that were begun.
  StreamOrigins stream_origins;
  // Whether the store says that the list of endpoints is complete.
  bool is_list_complete = true;
  int list_refreshes = 0;
  std::unique_ptr<EdgeContext> context;

 private:
  TcpConnectionPtr OpenRequest(const std::string& headers,
                               const std::string& path,
                               const std::string& method);
  EndpointId AddEntry(uint16_t port, const std::string& version);
  void StepLimits();
  void FindStreamOrigin(
      const RequestId& first_attempt,
      const std::function<void(const std::optional<StreamOrigin>&)>& callback);
  void RefreshList(const std::function<void(bool is_complete)>& callback);
  // The version of all listed endpoints.
  std::optional<SoftwareVersion> OnlyVersion() const;

  SystemClock m_clock;
  platform::HeaderFormat m_format;
  std::shared_ptr<prometheus::Registry> m_registry;
  EdgeMetrics m_metrics;
  ClusterTime m_cluster_time;
  EndpointCatalog m_endpoint_catalog;
  EndpointRegistry m_endpoints;
  std::vector<std::unique_ptr<ScriptedEndpoint>> m_scripted;
  std::unique_ptr<HttpService> m_callers;
  uint16_t m_port;
  uint16_t m_next_port;
};

}  // namespace pistachiowalk::testing
