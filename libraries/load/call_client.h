#pragma once

#include <functional>
#include <string>

#include "base/clock.h"
#include "net/http_client.h"

namespace pistachiowalk {

// A request to a plain service (no model engine) through an entry node.
struct PlainRequest {
  std::string url;
  std::string customer_key;
  std::string method = "GET";
  // Path after "/v1/services/".
  std::string path;
  std::string idempotency_key;
  std::string body;
};

// The result of one call as seen by the client.
struct PlainReport {
  // HTTP status code; 0 if no response was received.
  int status = 0;
  // Value of the X-Outcome header: "ran", "not-run" or "unknown"; "" if no
  // response with the header was received.
  std::string outcome;
  std::string body;
  Duration latency{};
};

// Starts one call; `on_done` receives its result.
void StartPlainCall(HttpClient& client,
                    const PlainRequest& request,
                    std::function<void(const PlainReport&)> on_done);

}  // namespace pistachiowalk
