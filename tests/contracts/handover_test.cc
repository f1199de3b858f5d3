#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "bundle/signed_bundle.h"
#include "daemon/deployment.h"
#include "daemon/stream_handover.h"
#include "load/stream_client.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "support/child_process.h"
#include "support/raw_http.h"
#include "token_text.h"

#include "support/criterion.h"

using namespace pistachiowalk;
using namespace pistachiowalk::testing;

namespace {

constexpr uint64_t kTokens = 400;

StreamReport RunStream(const std::string& first,
                       const std::string& next,
                       const std::function<void(EventLoop&)>& schedule_fault) {
  EventLoop loop;
  HttpClient client(loop);
  StreamReport report;
  StreamRequest request;
  request.url = first;
  request.next_url = [next] { return next; };
  request.customer_key = "key";
  request.service = "chat";
  request.prompt = "hello";
  request.tokens = kTokens;
  const auto stream = std::make_shared<StreamClient>(
      std::move(request), stand_in::TokenText, [&](const StreamReport& r) {
        report = r;
        loop.Stop();
      });
  stream->Start(loop, client);
  schedule_fault(loop);
  loop.Run();
  return report;
}

// Returns the value of X-Request-Id, "" when the header is absent.
std::string RequestIdOf(const std::string& answer) {
  const std::string name = "X-Request-Id: ";
  const size_t at = answer.find(name);
  if (at == std::string::npos) {
    return "";
  }
  const size_t start = at + name.size();
  return answer.substr(start, answer.find("\r\n", start) - start);
}

}  // namespace

Test(handover, a_stream_continues_at_a_peer_when_its_node_stops) {
  Deployment deployment;
  const std::unique_ptr<ChildProcess> peer = deployment.StartPeer();
  deployment.StoreBundle(DeploymentBundle(1), true);
  deployment.AwaitStatus("\"bundle_version\":1");
  deployment.AwaitStatus("\"n2\"");
  deployment.AddEndpoint("engine-1", deployment.engine().port(), "chat");
  const StreamReport report =
      RunStream(deployment.entry().Url(), peer->Url(), [&](EventLoop& loop) {
        loop.Schedule(std::chrono::milliseconds(200),
                      [&] { deployment.entry().Signal(SIGTERM); });
      });
  cr_assert(report.outcome == StreamOutcome::kComplete, "%s",
            report.detail.c_str());
  cr_assert(report.resumes == 1);
  cr_assert(deployment.entry().Wait() == 0);
}

Test(handover, a_caller_resumes_its_stream_over_a_new_connection) {
  Deployment deployment;
  deployment.StoreBundle(DeploymentBundle(1), true);
  deployment.AwaitStatus("\"bundle_version\":1");
  deployment.AddEndpoint("engine-1", deployment.engine().port(), "chat");
  const std::string key = "Authorization: Bearer key\r\n";
  const std::string body =
      R"({"model":"chat","messages":["x"],"max_tokens":1000,"stream":true})";
  // Closes the first connection after the first token.
  const std::string id = RequestIdOf(ExchangeUntil(
      deployment.entry_port(),
      HttpRequest("POST", "/v1/chat/completions", key, body), "id: 0\n"));
  cr_assert(not(id.empty()));
  const std::string rest =
      Call(deployment.entry_port(), "GET", "/v1/requests/" + id,
           key + "Last-Event-ID: 9\r\n");
  cr_assert(StatusOf(rest) == 200, "%s", rest.c_str());
  cr_assert(rest.find("id: 9\n") == std::string::npos);
  cr_assert(rest.find("id: 10\n") != std::string::npos);
  cr_assert(rest.find("id: 999\n") != std::string::npos);
  cr_assert(rest.find("data: [DONE]") != std::string::npos);
}

Test(handover, rejects_unknown_unauthenticated_and_malformed_resumes) {
  Deployment deployment;
  deployment.StoreBundle(DeploymentBundle(1), true);
  deployment.AwaitStatus("\"bundle_version\":1");
  const std::string key = "Authorization: Bearer key\r\n";
  const uint16_t port = deployment.entry_port();
  const std::string unknown = Call(port, "GET", "/v1/requests/p.n9.1.1", key);
  cr_assert(StatusOf(unknown) == 404);
  cr_assert(unknown.find("\"outcome\":\"unknown\"") != std::string::npos);
  cr_assert(StatusOf(Call(port, "GET", "/v1/requests/p.n1.1.1")) == 401);
  cr_assert(StatusOf(Call(port, "GET", "/v1/requests/p.n1.1.1",
                          key + "Last-Event-ID: x\r\n")) == 400);
}

Test(handover, message_round_trips_and_rejects_damaged_bytes) {
  const StreamHandover handover{.request = RequestId("d.n.1.2"),
                                .customer = CustomerName("c"),
                                .service = ServiceName("s"),
                                .remaining_milliseconds = 5000,
                                .body = "{}",
                                .tokens = {"a", "", "b"}};
  const std::string bytes = EncodeStreamHandover(handover);
  cr_assert(DecodeStreamHandover(bytes) == handover);
  for (size_t size = 0; size < bytes.size(); ++size) {
    cr_assert(not(DecodeStreamHandover(bytes.substr(0, size)).has_value()));
  }
  cr_assert(not(DecodeStreamHandover(bytes + "x").has_value()));
}
