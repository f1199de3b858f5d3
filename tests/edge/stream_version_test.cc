#include <string>
#include <vector>

#include "edge/edge_harness.h"
#include "edge/scripted_responses.h"
#include "platform/header_line.h"
#include "platform/header_names.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

using After = ScriptedEndpoint::After;

constexpr const char* kFirstEvent = "id: 1\ndata: one\n\n";
constexpr const char* kSecondEvent = "id: 2\ndata: two\n\n";

std::string Headers(const std::string& id) {
  return HeaderLine(platform::kAttemptIdHeader, id) +
         HeaderLine(platform::kCredentialHeader, "key") +
         HeaderLine(platform::kDeadlineHeader, "1200");
}

// A request that goes on after the first event of the stream of `resumed`.
std::string TakeUpHeaders(const std::string& id, const std::string& resumed) {
  return Headers(id) + HeaderLine(platform::kLastEventIdHeader, "1") +
         HeaderLine(platform::kResumesHeader, resumed);
}

}  // namespace

Test(stream_version, a_node_resumes_a_stream_at_another_version) {
  EdgeHarness edge;
  edge.AddEndpoint({{StreamHead(kFirstEvent), After::kReset}}, "v1");
  std::vector<ScriptedEndpoint*> others;
  for (int count = 0; count < 6; ++count) {
    others.push_back(
        &edge.AddEndpoint({{StreamHead(kSecondEvent) + kLastChunk}}, "v2"));
  }
  ScriptedEndpoint& same =
      edge.AddEndpoint({{StreamHead(kSecondEvent) + kLastChunk}}, "v1");
  const std::string response =
      edge.Send(Headers("req-1"), "/resumable/x", "POST");
  cr_assert(response.find("data: two") != std::string::npos);
  for (const ScriptedEndpoint* other : others) {
    cr_assert(other->requests.empty());
  }
  cr_assert(same.requests.size() == 1);
}

Test(stream_version, a_stream_without_workers_of_its_version_is_joined) {
  EdgeHarness edge;
  ScriptedEndpoint& first =
      edge.AddEndpoint({{StreamHead(kFirstEvent), After::kReset}}, "v1");
  ScriptedEndpoint& other =
      edge.AddEndpoint({{StreamHead(kSecondEvent) + kLastChunk}}, "v2");
  edge.loop.Schedule(std::chrono::milliseconds(10),
                     [&] { edge.RemoveEndpoint(first); });
  const std::string response =
      edge.Send(Headers("req-1"), "/resumable/x", "POST");
  cr_assert(response.find("data: one") != std::string::npos);
  cr_assert(!response.ends_with(kLastChunk));
  cr_assert(other.requests.empty());
}

Test(stream_version, a_callers_take_up_is_placed_like_a_new_request) {
  EdgeHarness edge;
  ScriptedEndpoint& near =
      edge.AddEndpoint({{StreamHead(kSecondEvent) + kLastChunk}}, "v2");
  edge.RemoveEndpoint(near);
  ScriptedEndpoint& first =
      edge.AddEndpoint({{StreamHead(kFirstEvent), After::kReset},
                        {"", After::kReset},
                        {StreamHead(kSecondEvent) + kLastChunk}},
                       "v1");
  edge.Send(Headers("req-1"), "/resumable/x", "POST");
  ScriptedEndpoint& nearest =
      edge.AddEndpoint({{StreamHead(kSecondEvent) + kLastChunk}}, "v2");
  const size_t before = first.requests.size();
  const std::string response =
      edge.Send(TakeUpHeaders("req-2", "req-1"), "/resumable/x", "POST");
  cr_assert(response.find("data: two") != std::string::npos);
  cr_assert(nearest.requests.empty());
  cr_assert(first.requests.size() == before + 1);
}

Test(stream_version, a_take_up_of_an_unknown_stream_is_joined_by_guess) {
  EdgeHarness edge;
  ScriptedEndpoint& one =
      edge.AddEndpoint({{StreamHead(kSecondEvent) + kLastChunk}}, "v1");
  ScriptedEndpoint& two =
      edge.AddEndpoint({{StreamHead(kSecondEvent) + kLastChunk}}, "v2");
  for (const char* resumed : {"req-0", "", "\t;,"}) {
    const std::string response =
        edge.Send(TakeUpHeaders("req-2", resumed), "/resumable/x", "POST");
    cr_assert(response.starts_with("HTTP/1.1 503 "));
  }
  cr_assert(one.requests.empty() && two.requests.empty());
}

Test(stream_version, a_take_up_is_joined_by_a_list_that_lacks_a_version) {
  EdgeHarness edge;
  ScriptedEndpoint& listed =
      edge.AddEndpoint({{StreamHead(kSecondEvent) + kLastChunk}}, "v1");
  edge.loop.Schedule(std::chrono::milliseconds(30),
                     [&] { edge.AddEndpoint({}, "v2"); });
  const std::string response =
      edge.Send(TakeUpHeaders("req-2", "req-0"), "/resumable/x", "POST");
  cr_assert(response.starts_with("HTTP/1.1 503 "));
  cr_assert(listed.requests.empty());
}

Test(stream_version, a_take_up_is_joined_by_a_list_that_nothing_confirms) {
  EdgeHarness edge;
  edge.is_list_complete = false;
  ScriptedEndpoint& listed =
      edge.AddEndpoint({{StreamHead(kSecondEvent) + kLastChunk}}, "v1");
  const std::string response =
      edge.Send(TakeUpHeaders("req-2", "req-0"), "/resumable/x", "POST");
  cr_assert(response.starts_with("HTTP/1.1 503 "));
  cr_assert(response.find("\r\nRetry-After: ") != std::string::npos);
  cr_assert(listed.requests.empty());
}

Test(stream_version, a_take_up_of_the_only_version_is_refused) {
  EdgeHarness edge;
  edge.AddEndpoint({{StreamHead(kSecondEvent) + kLastChunk}}, "v1");
  const std::string response =
      edge.Send(TakeUpHeaders("req-2", "req-0"), "/resumable/x", "POST");
  cr_assert(response.starts_with("HTTP/1.1 200 "));
  cr_assert(response.find("data: two") != std::string::npos);
  cr_assert(edge.list_refreshes == 1);
}

Test(stream_version, a_take_up_of_a_known_stream_waits_for_the_store) {
  EdgeHarness edge;
  edge.AddEndpoint({{StreamHead(kFirstEvent), After::kReset},
                    {"", After::kReset},
                    {StreamHead(kSecondEvent) + kLastChunk}},
                   "v1");
  edge.Send(Headers("req-1"), "/resumable/x", "POST");
  const std::string response =
      edge.Send(TakeUpHeaders("req-2", "req-1"), "/resumable/x", "POST");
  cr_assert(response.find("data: two") != std::string::npos);
  cr_assert(edge.list_refreshes == 0);
}
