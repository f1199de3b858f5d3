#include <memory>
#include <string>

#include "daemon/upstream_attempt.h"
#include "load/stream_client.h"
#include "net/http_client.h"
#include "support/child_process.h"
#include "support/criterion.h"
#include "token_text.h"

using namespace pistachiowalk;
using pistachiowalk::testing::ChildProcess;

namespace {

constexpr const char* kMessages = R"([{"role":"user","content":"hi"}])";

// The events of one attempt at the stand-in engine.
struct AttemptResult {
  std::vector<TokenArrived> tokens;
  std::optional<GenerationEnded> end;
  std::optional<AttemptFailed> failure;
};

AttemptResult RunAttempt(const std::string& url,
                         const std::string& body,
                         TokenIndex from_token) {
  EventLoop loop;
  HttpClient client(loop);
  AttemptResult result;
  UpstreamAttemptPtr attempt(new UpstreamAttempt(
      1, UpstreamAttempt::ResponseKind::kTokenStream, from_token,
      [&](const RequestEvent& event) {
        if (const auto* token = std::get_if<TokenArrived>(&event)) {
          result.tokens.push_back(*token);
        } else if (const auto* end = std::get_if<GenerationEnded>(&event)) {
          result.end = *end;
          loop.Stop();
        } else if (const auto* failed = std::get_if<AttemptFailed>(&event)) {
          result.failure = *failed;
          loop.Stop();
        }
      }));
  HttpCallOptions options;
  options.method = "POST";
  options.url = url + "/v1/chat/completions";
  options.body = body;
  attempt->Start(client, std::move(options));
  loop.Run();
  attempt->Cancel();
  loop.RunPosted();
  return result;
}

std::string Body(const std::string& extra) {
  return std::string(R"({"model":"m","messages":)") + kMessages + extra + "}";
}

}  // namespace

Test(engine_contract, a_resumed_stream_contains_only_the_remaining_tokens) {
  ChildProcess engine("stand_ins/stand_in_engine", {"--token-us", "100"});
  for (const TokenIndex from : {TokenIndex{0}, TokenIndex{1}, TokenIndex{9}}) {
    const AttemptResult result = RunAttempt(
        engine.Url(),
        Body(R"(,"max_tokens":10,"resume_from_token":)" + std::to_string(from)),
        from);
    cr_assert(result.tokens.size() == 10 - from);
    for (size_t i = 0; i < result.tokens.size(); ++i) {
      cr_assert(result.tokens[i].index == from + i);
      cr_assert(result.tokens[i].text ==
                stand_in::TokenText(kMessages, from + i));
    }
    cr_assert(result.end->token_count == 10);
  }
}

Test(engine_contract, a_malformed_request_fails_the_attempt) {
  ChildProcess engine("stand_ins/stand_in_engine", {});
  const AttemptResult result = RunAttempt(engine.Url(), "{", 0);
  cr_assert(result.failure->dispatch == DispatchCertainty::kMaybeDispatched);
}

Test(engine_contract, an_attempt_at_a_stopped_engine_is_not_dispatched) {
  std::string url;
  {
    const ChildProcess engine("stand_ins/stand_in_engine", {});
    url = engine.Url();
  }
  const AttemptResult result = RunAttempt(url, Body(""), 0);
  cr_assert(result.failure->dispatch == DispatchCertainty::kNotDispatched);
}
