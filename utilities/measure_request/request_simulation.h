#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "request/claim_range.h"
#include "request/request_machine.h"
#include "utilities/measure_request/request_oracle.h"
#include "utilities/measure_request/simulated_store.h"
#include "utilities/measure_request/simulation_options.h"

namespace pistachiowalk::measure {

// Simulates several entry nodes that share a store, with callers that repeat
// requests and endpoints that fail. The seed determines the whole history.
class RequestSimulation {
 public:
  explicit RequestSimulation(SimulationOptions options);

  SimulationFindings Run();

 private:
  struct Node {
    NodeId id;
    uint32_t incarnation = 0;
    TimePoint paused_until{};
    TimePoint cut_until{};
    std::unique_ptr<ClaimRange> claims;
    std::map<RequestId, RequestState> requests;
    bool is_tick_planned = false;
  };

  // An operation that one caller requests, over all its repetitions.
  struct CallerTask {
    std::string key;
    RequestKind kind = RequestKind::kAction;
    TokenIndex token_count = 0;
    CallerAttempt attempts = 0;
    TimePoint first_sent_at{};
  };

  void Schedule(Duration delay, std::function<void()> function);
  // Runs `function` at the node unless it has been replaced by then.
  void At(size_t node, Duration delay, std::function<void()> function);
  ClaimTime Time() const;
  Duration DrawDelay(Duration longest);
  bool DrawChance(double share);
  size_t DrawIndex(size_t count);

  void PlanTask();
  void PlanFaults();
  void CrashNode(size_t node);
  void StartNode(size_t node);
  void SendTask(size_t task);
  // Decides at random whether the caller sends its request again.
  void MaybeRepeat(size_t task);

  void Apply(size_t node, const RequestId& id, const RequestEvent& event);
  void Perform(size_t node,
               const RequestId& id,
               const RequestCommands& commands);
  void PerformOne(size_t node,
                  const RequestId& id,
                  const RequestCommand& command);
  void ReportToCaller(const RequestSpec& spec, RequestCommand command);
  CallerAttempt ClaimAttempt(const RequestSpec& spec) const;
  void Claim(size_t node, const RequestSpec& spec);
  void PerformClaims(size_t node, const ClaimCommands& commands);
  void PlanTick(size_t node);
  StoreAvailability AvailabilityFor(size_t node) const;

  void FindRoute(size_t node, const RequestId& id);
  void StartAttempt(size_t node,
                    const RequestSpec& spec,
                    const pistachiowalk::StartAttempt& command);
  void RunAction(size_t node, const RequestSpec& spec, AttemptNumber attempt);
  void Generate(size_t node,
                const RequestSpec& spec,
                const pistachiowalk::StartAttempt& command);
  void FailAttempt(size_t node,
                   const RequestId& id,
                   AttemptNumber attempt,
                   DispatchCertainty dispatch,
                   Duration delay);

  const SimulationOptions m_options;
  std::mt19937_64 m_random;
  TimePoint m_now{};
  std::multimap<TimePoint, std::function<void()>> m_events;
  // Tasks start within this time; long histories outlast the claims' retention.
  Duration m_arrival_window = std::chrono::seconds(6);
  size_t m_maximum_tasks = 12;
  double m_endpoint_fault_share = 0;
  // Share of the routing decisions that find no endpoint.
  double m_route_refused_share = 0;
  ClaimRangeOptions m_range_options;
  TimePoint m_store_down_until{};
  std::unique_ptr<SimulatedStore> m_store;
  std::vector<Node> m_nodes;
  std::vector<CallerTask> m_tasks;
  std::map<RequestId, size_t> m_task_by_request;
  std::map<RequestId, RequestSpec> m_specs;
  std::optional<RequestCommand> m_held_token;
  RequestOracle m_oracle;
  uint64_t m_last_request = 0;
  uint64_t m_steps = 0;
};

}  // namespace pistachiowalk::measure
