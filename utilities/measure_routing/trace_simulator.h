#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "baseline_policies.h"
#include "engine_model.h"
#include "workload.h"

namespace pistachiowalk::measure {

// The measured figures of one policy on one trace.
struct RoutingFigures {
  double cost_per_million_tokens = 0.0;
  uint64_t recomputed_tokens = 0;
  double ttft_p95_ms = 0.0;
  double itl_p95_ms = 0.0;
  double deadline_met_share = 0.0;
  uint64_t cross_region_bytes = 0;
};

// Simulates a deployment's trace under one policy with small endpoint models.
// Each of several nodes has delayed load reports, incomplete cache events and
// VM lists of its own; one place has a reclaim wave.
class TraceSimulator {
 public:
  TraceSimulator(const Deployment& deployment,
                 Policy policy,
                 uint64_t seed,
                 double seconds);

  RoutingFigures Run();

 private:
  struct SimulatedEndpoint {
    Endpoint endpoint;
    uint32_t place = 0;
    double price_per_hour = 0.0;
    bool is_reclaimable = false;
    bool is_gone = false;
    bool is_stepping = false;
    EngineModel engine;
    uint64_t batch_sequence = 0;
    // Billing periods already paid.
    uint64_t billed_until = 0;
    double cost = 0.0;
  };
  struct Node {
    uint32_t place = 0;
    EndpointTable table;
    PrefixIndex prefixes;
    PolicyState state;
  };
  struct Job {
    const TraceRequest* request = nullptr;
    size_t conversation = 0;
    size_t turn = 0;
    double arrived_at = 0.0;
    double last_token_at = 0.0;
    bool has_first_token = false;
    uint32_t generated_before = 0;
    uint32_t node = 0;
    EndpointId endpoint;
    bool is_first_token_late = false;
  };
  struct Event {
    double time = 0.0;
    uint64_t order = 0;
    std::function<void()> action;
    friend bool operator<(const Event& a, const Event& b) {
      return a.time != b.time ? a.time > b.time : a.order > b.order;
    }
  };

  void At(double time, std::function<void()> action);
  void AddEndpoint(uint32_t place, bool is_reclaimable);
  void AddEndpoints(bool only_replacements);
  void StartReclaimWave();
  void Kill(size_t endpoint);
  void PollVmList(size_t node);
  void SampleLoad(size_t endpoint);
  void PublishCache(size_t endpoint);
  void StartTurn(size_t conversation, size_t turn);
  void Route(JobNumber job);
  void Dispatch(JobNumber job, size_t endpoint);
  void Step(size_t endpoint);
  void OnProgress(size_t endpoint, const JobProgress& progress);
  void Finish(JobNumber job);
  void Bill(SimulatedEndpoint& endpoint, double from, double to);
  RouteRequest RequestOf(const Job& job) const;
  TimePoint Now() const;
  double Uniform(double low, double high);
  size_t IndexOf(const EndpointId& id) const;
  RoutingFigures Figures();

  const Deployment& m_deployment;
  Policy m_policy;
  double m_seconds;
  std::mt19937_64 m_generator;
  EngineProfile m_profile;
  std::priority_queue<Event> m_events;
  uint64_t m_last_order = 0;
  double m_now = 0.0;
  std::vector<std::unique_ptr<SimulatedEndpoint>> m_endpoints;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<Job> m_jobs;
  ComputedBlocks m_computed;
  std::vector<double> m_first_token_seconds;
  std::vector<uint64_t> m_gap_histogram;
  uint64_t m_tokens = 0;
  uint64_t m_lost_tokens = 0;
  uint64_t m_deadlines_met = 0;
  uint64_t m_cross_region_bytes = 0;
};

}  // namespace pistachiowalk::measure
