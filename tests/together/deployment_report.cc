#include "together/deployment_report.h"

#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>

#include "bundle/bundle_roll.h"
#include "store/http_store.h"
#include "support/raw_http.h"

namespace pistachiowalk::testing {
namespace {

boost::json::object ReadStats(const DeploymentProcess& endpoint) {
  endpoint.process->Signal(SIGCONT);
  const std::string answer =
      Call(endpoint.process->port(), "GET", "/stand-in/stats");
  const size_t body = answer.find("\r\n\r\n");
  if (body == std::string::npos) {
    std::cerr << "no counters from " << endpoint.name << '\n';
    std::exit(1);
  }
  return boost::json::parse(answer.substr(body + 4)).as_object();
}

}  // namespace

EndpointTotals ReadEndpointTotals(LoopbackDeployment& deployment) {
  EndpointTotals totals;
  for (const DeploymentProcess& endpoint : deployment.endpoints()) {
    const boost::json::object stats = ReadStats(endpoint);
    if (endpoint.service == kPlainService) {
      for (const auto& item : stats.at("by_key").as_object()) {
        totals.runs_by_key[std::string(item.key())] +=
            item.value().to_number<uint64_t>();
      }
      continue;
    }
    totals.recomputed_tokens +=
        stats.at("recomputed_tokens").to_number<uint64_t>();
    totals.requests_after_leaving +=
        stats.at("requests_after_leaving").to_number<uint64_t>();
  }
  return totals;
}

ActionTotals CountActions(const std::map<std::string, ActionEnd>& ends,
                          const EndpointTotals& totals) {
  ActionTotals action_totals;
  for (const auto& [key, runs] : totals.runs_by_key) {
    action_totals.double_runs += runs > 1 ? 1 : 0;
  }
  for (const auto& [key, end] : ends) {
    const auto it = totals.runs_by_key.find(key);
    const bool has_run = it != totals.runs_by_key.end() && it->second > 0;
    switch (end) {
      case ActionEnd::kRan:
        action_totals.lost += has_run ? 0 : 1;
        break;
      case ActionEnd::kNotRun:
        ++action_totals.not_run;
        action_totals.false_not_run += has_run ? 1 : 0;
        break;
      case ActionEnd::kUnknown:
      case ActionEnd::kNoAnswer:
        ++action_totals.unknown;
        break;
    }
  }
  return action_totals;
}

uint64_t UnfinishedRequests(const DeploymentLoad& load) {
  const StreamTotals& streams = load.streams();
  return streams.started - streams.ended + load.ActionsStarted() -
         load.actions().size();
}

void RunUntilLoadEnds(EventLoop& loop,
                      const DeploymentLoad& load,
                      Duration first_check,
                      Duration timeout) {
  const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
  const std::function<void()> check = [&] {
    if (load.IsOver() || std::chrono::steady_clock::now() > deadline) {
      loop.Stop();
      return;
    }
    loop.Schedule(std::chrono::milliseconds(100), check);
  };
  loop.Schedule(first_check, check);
  loop.Run();
}

void RollOutFirstBundle(EventLoop& loop,
                        HttpClient& client,
                        LoopbackDeployment& deployment) {
  HttpStore store(client, deployment.platform().Url());
  RollBundle(store, 1, deployment.MakeBundle(1, "first"),
             [&loop](const RollOutcome&) { loop.Stop(); });
  loop.Run();
}

}  // namespace pistachiowalk::testing
