#pragma once

#include <string>

#include "base/problem.h"
#include "net/http_exchange.h"

namespace pistachiowalk {

// Returns the HTTP response for a problem. `instance` is the request id, or
// empty if there is none.
inline HttpResponse ProblemResponse(const Problem& problem,
                                    const std::string& instance) {
  HttpResponse response;
  response.status = ProblemStatus(problem.kind);
  response.headers = {
      {"Content-Type", "application/problem+json"},
      {"X-Outcome", std::string(RunOutcomeName(problem.outcome))}};
  if (!instance.empty()) {
    response.headers.push_back({"X-Request-Id", instance});
  }
  if (problem.retry_after) {
    response.headers.push_back(
        {"Retry-After", std::to_string(problem.retry_after->count())});
  }
  response.body = ProblemDocument(problem, instance);
  return response;
}

}  // namespace pistachiowalk
