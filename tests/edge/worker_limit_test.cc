#include <string>
#include <vector>

#include "edge/edge_harness.h"
#include "platform/header_line.h"
#include "platform/header_names.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

// A response that names `limit`, or none if it is empty.
std::string MakeResponse(const std::string& limit) {
  return "HTTP/1.1 200 OK\r\n" +
         HeaderLine(platform::kAttemptIdHeader, "{id}") +
         HeaderLine(platform::kServerSealHeader, "s") +
         "Content-Length: 1\r\n" +
         (limit.empty() ? ""
                        : HeaderLine(platform::kServerLimitHeader, limit)) +
         "\r\na";
}

std::string MakeHeaders(int request) {
  return HeaderLine(platform::kAttemptIdHeader,
                    "req-" + std::to_string(request)) +
         HeaderLine(platform::kCredentialHeader, "key") +
         HeaderLine(platform::kDeadlineHeader, "1200");
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

// Guards against refusals while other workers have room.
Test(worker_limit, what_a_limited_worker_does_not_take_goes_to_others) {
  constexpr int kRequests = 20;
  EdgeHarness edge;
  ScriptedEndpoint& limited =
      edge.AddEndpoint(std::vector<ScriptedEndpoint::Step>(
          kRequests, {.text = MakeResponse("0.5")}));
  ScriptedEndpoint& other =
      edge.AddEndpoint(std::vector<ScriptedEndpoint::Step>(
          kRequests, {.text = MakeResponse("")}));
  for (int i = 0; i < kRequests; ++i) {
    cr_assert(StatusOf(edge.Send(MakeHeaders(i))) == 200);
  }
  cr_assert(limited.requests.size() <= 2);
  cr_assert(limited.requests.size() + other.requests.size() == kRequests);
}

// Guards against second attempts that are not counted.
Test(worker_limit, second_attempts_count) {
  EdgeHarness edge;
  ScriptedEndpoint& failing =
      edge.AddEndpoint(std::vector<ScriptedEndpoint::Step>(
          10, {.text = "HTTP/1.1 500 Error\r\n" +
                       HeaderLine(platform::kAttemptIdHeader, "{id}") +
                       "Content-Length: 0\r\n\r\n"}));
  ScriptedEndpoint& limited = edge.AddEndpoint(
      std::vector<ScriptedEndpoint::Step>(10, {.text = MakeResponse("0.5")}));
  const TimePoint started_at = SystemClock().Now();
  for (int i = 0; i < 10; ++i) {
    edge.Send(MakeHeaders(i));
  }
  const std::chrono::duration<double> elapsed =
      SystemClock().Now() - started_at;
  // The request that was told of the limit, one at once, and the rate.
  const double allowed = 2.0 + 0.5 * elapsed.count();
  cr_assert(failing.requests.size() > 5);
  cr_assert(static_cast<double>(limited.requests.size()) <= allowed, "%zu",
            limited.requests.size());
}

// Guards against a limit that is read from errors only, or not from them.
Test(worker_limit, a_limit_on_an_error_or_a_stream_counts) {
  for (const std::string& response :
       {std::string("HTTP/1.1 500 Error\r\n" +
                    HeaderLine(platform::kAttemptIdHeader, "{id}") +
                    HeaderLine(platform::kServerLimitHeader, "0.5") +
                    "Content-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 503 Busy\r\n" +
                    HeaderLine(platform::kAttemptIdHeader, "{id}") +
                    HeaderLine(platform::kNotExecutedHeader, "1") +
                    HeaderLine(platform::kServerLimitHeader, "0.5") +
                    "Content-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\n" +
                    HeaderLine(platform::kAttemptIdHeader, "{id}") +
                    HeaderLine(platform::kServerSealHeader, "s") +
                    HeaderLine(platform::kServerLimitHeader, "0.5") +
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")}) {
    EdgeHarness edge;
    edge.AddEndpoint({{.text = response}});
    edge.Send(MakeHeaders(1), "/stream/x");
    cr_assert(edge.worker_limits.limited_count() == 1);
  }
}

// Guards against a late response to another request that changes a limit.
Test(worker_limit, a_response_of_another_request_names_no_limit) {
  EdgeHarness edge;
  edge.AddEndpoint({{.text = "HTTP/1.1 200 OK\r\n" +
                             HeaderLine(platform::kAttemptIdHeader, "other") +
                             HeaderLine(platform::kServerLimitHeader, "0.5") +
                             "Content-Length: 0\r\n\r\n" + MakeResponse("")}});
  cr_assert(StatusOf(edge.Send(MakeHeaders(1))) == 200);
  cr_assert(edge.worker_limits.limited_count() == 0);
}

// Guards against a worker that stays limited though it is well again.
Test(worker_limit, a_worker_that_names_no_limit_any_more_gets_all_again) {
  std::vector<ScriptedEndpoint::Step> steps(20, {.text = MakeResponse("")});
  steps[0] = {.text = MakeResponse("5")};
  EdgeHarness edge;
  edge.AddEndpoint(steps);
  edge.Send(MakeHeaders(0));
  cr_assert(edge.worker_limits.limited_count() == 1);
  edge.Wait(std::chrono::milliseconds(400));
  for (int i = 1; i < 10; ++i) {
    cr_assert(StatusOf(edge.Send(MakeHeaders(i))) == 200, "%d", i);
  }
}
