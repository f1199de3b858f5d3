#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "together/deployment_load.h"
#include "together/loopback_deployment.h"

namespace pistachiowalk::testing {

// Sums of all endpoints' counters.
struct EndpointTotals {
  std::map<std::string, uint64_t> runs_by_key;
  uint64_t recomputed_tokens = 0;
  uint64_t requests_after_leaving = 0;
};

// Numbers of actions by comparing callers' outcomes with endpoints' counters.
struct ActionTotals {
  uint64_t double_runs = 0;
  uint64_t false_not_run = 0;
  // Reported as "ran" but not executed.
  uint64_t lost = 0;
  uint64_t unknown = 0;
  uint64_t not_run = 0;
};

// Reads the counters of all endpoints, including those with stopped processes.
EndpointTotals ReadEndpointTotals(LoopbackDeployment& deployment);

ActionTotals CountActions(const std::map<std::string, ActionEnd>& ends,
                          const EndpointTotals& totals);

// Number of requests that were started and have no outcome.
uint64_t UnfinishedRequests(const DeploymentLoad& load);

// Runs the loop until the load is over or `timeout` has passed. The first check
// is made after `first_check`.
void RunUntilLoadEnds(EventLoop& loop,
                      const DeploymentLoad& load,
                      Duration first_check,
                      Duration timeout);

// Rolls out bundle version 1 and returns once the store has answered.
void RollOutFirstBundle(EventLoop& loop,
                        HttpClient& client,
                        LoopbackDeployment& deployment);

}  // namespace pistachiowalk::testing
