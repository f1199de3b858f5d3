#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "together/deployment_load.h"
#include "together/loopback_deployment.h"

namespace pistachiowalk::testing {

// What endpoints counted, over all of them.
struct EndpointTotals {
  std::map<std::string, uint64_t> runs_by_key;
  uint64_t recomputed_tokens = 0;
  uint64_t requests_after_leaving = 0;
};

// What the callers' answers and the endpoints' counts say together.
struct ActionTotals {
  uint64_t double_runs = 0;
  uint64_t false_not_run = 0;
  // Told "ran" though it did not.
  uint64_t lost = 0;
  uint64_t unknown = 0;
  uint64_t not_run = 0;
};

// Reads the counters of all endpoints, stopped ones included.
EndpointTotals ReadEndpointTotals(LoopbackDeployment& deployment);

ActionTotals CountActions(const std::map<std::string, ActionEnd>& ends,
                          const EndpointTotals& totals);

// Requests started and not ended in any way.
uint64_t UnfinishedRequests(const DeploymentLoad& load);

// Runs the loop until the load is over, looking from `first_look` on, or until
// `give_up` has passed.
void RunUntilLoadEnds(EventLoop& loop,
                      const DeploymentLoad& load,
                      Duration first_check,
                      Duration timeout);

// Rolls version 1 and returns once the store has answered.
void RollOutFirstBundle(EventLoop& loop,
                        HttpClient& client,
                        LoopbackDeployment& deployment);

}  // namespace pistachiowalk::testing
