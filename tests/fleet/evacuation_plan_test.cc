#include "fleet/evacuation_plan.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "support/criterion.h"

namespace pistachiowalk {
namespace {

constexpr uint64_t kSeed = 4711;

struct Scenario {
  std::vector<LeavingEndpoint> leaving;
  std::vector<InFlightRequest> requests;
  std::vector<SurvivingEndpoint> survivors;
};

Scenario RandomScenario(std::mt19937_64& generator) {
  const auto uniform = [&](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(generator);
  };
  Scenario scenario;
  for (int i = 0; i < 3; ++i) {
    scenario.leaving.push_back(
        LeavingEndpoint{.endpoint = EndpointId("leaving-" + std::to_string(i)),
                        .time_left = FractionalSeconds(uniform(3, 40)),
                        .export_bytes_per_second = uniform(0, 5e8)});
    scenario.survivors.push_back(SurvivingEndpoint{
        .endpoint = EndpointId("stays-" + std::to_string(i)),
        .free_slots = static_cast<uint32_t>(generator() % 12)});
  }
  for (int i = 0; i < 30; ++i) {
    InFlightRequest request;
    request.id = RequestId("r" + std::to_string(i));
    request.endpoint = scenario.leaving[generator() % 3].endpoint;
    request.priority = static_cast<Priority>(generator() % kPriorityCount);
    request.remaining = FractionalSeconds(uniform(0, 60));
    request.slack = request.remaining + FractionalSeconds(uniform(-5, 60));
    request.cache_bytes = generator() % 1000000000;
    request.recompute_tokens = generator() % 10000;
    request.recompute_time = FractionalSeconds(uniform(0, 5));
    request.is_action = generator() % 10 == 0;
    scenario.requests.push_back(request);
  }
  return scenario;
}

EvacuationPlan PlanOf(const Scenario& scenario) {
  return PlanEvacuation(scenario.leaving, scenario.requests,
                        scenario.survivors);
}

// Oracle: every request has exactly one step, no surviving endpoint gets more
// requests than it has slots, no leaving endpoint exports more bytes than its
// time and bandwidth allow, and no action is moved.
bool IsValidPlan(const Scenario& scenario, const EvacuationPlan& plan) {
  std::map<RequestId, InFlightRequest> requests;
  for (const InFlightRequest& request : scenario.requests) {
    requests[request.id] = request;
  }
  std::map<EndpointId, uint32_t> slots;
  for (const SurvivingEndpoint& survivor : scenario.survivors) {
    slots[survivor.endpoint] = survivor.free_slots;
  }
  std::map<EndpointId, double> export_bytes;
  std::set<RequestId> seen;
  for (const EvacuationStep& step : plan.steps) {
    const InFlightRequest& request = requests[step.request];
    const bool is_move = step.action == EvacuationAction::kExport ||
                         step.action == EvacuationAction::kRecompute;
    if (!seen.insert(step.request).second || (is_move && request.is_action)) {
      return false;
    }
    if (is_move && slots[step.target]-- == 0) {
      return false;
    }
    if (step.action == EvacuationAction::kExport) {
      export_bytes[request.endpoint] +=
          static_cast<double>(request.cache_bytes);
    }
  }
  for (const LeavingEndpoint& endpoint : scenario.leaving) {
    if (export_bytes[endpoint.endpoint] >
        endpoint.export_bytes_per_second * endpoint.time_left.count()) {
      return false;
    }
  }
  return seen.size() == scenario.requests.size();
}

}  // namespace

Test(evacuation_plan, loses_no_request_and_overbooks_nothing) {
  std::mt19937_64 generator(kSeed);
  for (int run = 0; run < 2000; ++run) {
    const Scenario scenario = RandomScenario(generator);
    cr_assert(IsValidPlan(scenario, PlanOf(scenario)), "run %d", run);
  }
}

Test(evacuation_plan, the_oracle_detects_each_injected_fault) {
  std::mt19937_64 generator(kSeed);
  int lost = 0;
  int doubled = 0;
  int overbooked = 0;
  int moved_action = 0;
  for (int run = 0; run < 100; ++run) {
    const Scenario scenario = RandomScenario(generator);
    const EvacuationPlan plan = PlanOf(scenario);
    EvacuationPlan faulty = plan;
    faulty.steps.pop_back();
    lost += IsValidPlan(scenario, faulty) ? 0 : 1;
    faulty = plan;
    faulty.steps.push_back(faulty.steps.front());
    doubled += IsValidPlan(scenario, faulty) ? 0 : 1;
    faulty = plan;
    for (EvacuationStep& step : faulty.steps) {
      step.action = EvacuationAction::kRecompute;
      step.target = scenario.survivors[0].endpoint;
    }
    overbooked += IsValidPlan(scenario, faulty) ? 0 : 1;
    Scenario other = scenario;
    for (InFlightRequest& request : other.requests) {
      request.is_action = true;
    }
    moved_action += IsValidPlan(other, plan) ? 0 : 1;
  }
  cr_assert(lost == 100 && doubled == 100 && overbooked == 100);
  cr_assert(moved_action > 90);
}

Test(evacuation_plan, higher_priorities_get_slots_first) {
  std::mt19937_64 generator(kSeed);
  for (int run = 0; run < 500; ++run) {
    const Scenario scenario = RandomScenario(generator);
    Priority least_moved = Priority::kCritical;
    Priority most_waiting = Priority::kBatch;
    for (const EvacuationStep& step : PlanOf(scenario).steps) {
      const auto it =
          std::find_if(scenario.requests.begin(), scenario.requests.end(),
                       [&](const InFlightRequest& request) {
                         return request.id == step.request;
                       });
      if (step.action == EvacuationAction::kWaitForSlot) {
        most_waiting = std::min(most_waiting, it->priority);
      } else if (step.action != EvacuationAction::kFinishInPlace) {
        least_moved = std::max(least_moved, it->priority);
      }
    }
    cr_assert(least_moved <= most_waiting, "run %d", run);
  }
}

Test(evacuation_plan, a_second_node_continues_the_plan_of_a_failed_node) {
  std::mt19937_64 generator(kSeed);
  for (int run = 0; run < 300; ++run) {
    Scenario scenario = RandomScenario(generator);
    const EvacuationPlan first = PlanOf(scenario);
    cr_assert(PlanOf(scenario) == first);
    // The first node failed after some exports; the engines report which.
    std::map<RequestId, EndpointId> exported;
    for (const EvacuationStep& step : first.steps) {
      if (step.action == EvacuationAction::kExport && generator() % 2 == 0) {
        exported[step.request] = step.target;
      }
    }
    for (InFlightRequest& request : scenario.requests) {
      if (exported.contains(request.id)) {
        request.exported_to = exported[request.id];
      }
    }
    for (const EvacuationStep& step : PlanOf(scenario).steps) {
      const auto it = exported.find(step.request);
      cr_assert(it == exported.end() || step.target == it->second);
    }
  }
}

Test(evacuation_plan,
     exports_deadline_critical_caches_before_the_largest_savings) {
  const LeavingEndpoint endpoint{.endpoint = EndpointId("e"),
                                 .time_left = FractionalSeconds(7),
                                 .export_bytes_per_second = 1e8};
  InFlightRequest urgent{.id = RequestId("urgent"),
                         .endpoint = EndpointId("e"),
                         .remaining = FractionalSeconds(20),
                         .slack = FractionalSeconds(22),
                         .cache_bytes = 400000000,
                         .recompute_tokens = 100,
                         .recompute_time = FractionalSeconds(5)};
  InFlightRequest large = urgent;
  large.id = RequestId("large");
  large.slack = FractionalSeconds(100);
  large.recompute_tokens = 90000;
  const EvacuationPlan plan =
      PlanEvacuation({endpoint}, {large, urgent}, {{EndpointId("s"), 2}});
  for (const EvacuationStep& step : plan.steps) {
    cr_assert((step.action == EvacuationAction::kExport) ==
              (step.request.value() == "urgent"));
  }
}

Test(evacuation_plan, refuses_new_work_from_the_lowest_priority_up) {
  cr_assert(!FirstRefusedPriority({1, 2, 3, 4}, 10));
  cr_assert(FirstRefusedPriority({1, 2, 3, 4}, 9) == Priority::kBatch);
  cr_assert(FirstRefusedPriority({1, 2, 3, 4}, 5) == Priority::kStandard);
  cr_assert(FirstRefusedPriority({1, 2, 3, 4}, 0.5) == Priority::kCritical);
}

}  // namespace pistachiowalk
