#include <string>
#include <vector>

#include "edge/edge_harness.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

// A response that names `limit`, or none if it is empty.
std::string MakeResponse(const std::string& limit) {
  return "HTTP/1.1 200 OK\r\nX-Pistachiowalk-Attempt-Id: {id}\r\n"
         "X-Pistachiowalk-Server-Seal: s\r\nContent-Length: 1\r\n" +
         (limit.empty() ? "" : "Server-Limit: " + limit + "\r\n") + "\r\na";
}

std::string MakeHeaders(int request) {
  return "X-Pistachiowalk-Attempt-Id: req-" + std::to_string(request) +
         "\r\nX-Pistachiowalk-Credential: key\r\n"
         "X-Pistachiowalk-Deadline-Ms: 1200\r\n";
}

int StatusOf(const std::string& response) {
  return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
}

}  // namespace

// Guards against more requests to a worker than the limit that it names.
Test(worker_limit, a_worker_gets_no_more_than_it_named) {
  constexpr int kRequests = 40;
  constexpr auto kInterval = std::chrono::milliseconds(50);
  constexpr double kLimit = 1.0;
  // In any four seconds.
  constexpr double kAllowed = 1.5 * kLimit * 4.0 + 5.0;
  EdgeHarness edge;
  ScriptedEndpoint& endpoint =
      edge.AddEndpoint(std::vector<ScriptedEndpoint::Step>(
          kRequests, {.text = MakeResponse("1.0")}));
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    refused += StatusOf(edge.Send(MakeHeaders(i))) == 503 ? 1 : 0;
    edge.Wait(kInterval);
  }
  const auto received = static_cast<int>(endpoint.requests.size());
  cr_assert(received <= kAllowed, "%d requests in two seconds", received);
  // The others are told that they have not run.
  cr_assert(refused == kRequests - received);
}
