#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <string>

#include "daemon/deployment.h"
#include "support/raw_http.h"

#include "support/criterion.h"

using namespace pistachiowalk::testing;

namespace {

constexpr const char* kKey = "Authorization: Bearer key\r\n";
constexpr int kMaximumPolls = 400;
constexpr useconds_t kPollIntervalMicroseconds = 50000;

// A caller that requests a stream and never reads the response.
class NonReadingCaller {
 public:
  NonReadingCaller(uint16_t port, const std::string& body)
      : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const std::string request =
        HttpRequest("POST", "/v1/chat/completions", kKey, body);
    if (connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
            0 ||
        send(m_fd, request.data(), request.size(), 0) < 0) {
      std::abort();
    }
  }
  ~NonReadingCaller() { Disconnect(); }

  void Disconnect() {
    if (m_fd >= 0) {
      close(m_fd);
    }
    m_fd = -1;
  }

 private:
  int m_fd;
};

// Returns a counter from the engine's statistics.
uint64_t EngineCounter(Deployment& deployment, const std::string& name) {
  const std::string stats =
      Call(deployment.engine().port(), "GET", "/stand-in/stats");
  const size_t at = stats.find("\"" + name + "\":");
  return at == std::string::npos
             ? 0
             : std::strtoull(stats.c_str() + at + name.size() + 3, nullptr, 10);
}

// Publishes a bundle with a deadline too long to end a stream of these tests.
void StoreBundleWithoutDeadline(Deployment& deployment) {
  std::string text = DeploymentBundle(1);
  const std::string deadline = "deadline_ms = 8000\n";
  text.replace(text.find(deadline), deadline.size(), "deadline_ms = 600000\n");
  deployment.StoreBundle(text, true);
  deployment.AwaitStatus("\"bundle_version\":1");
}

void MakeReady(Deployment& deployment) {
  StoreBundleWithoutDeadline(deployment);
  deployment.AddEndpoint("engine-1", deployment.engine().port(), "chat");
  deployment.AddEndpoint("service-1", deployment.service().port(), "loans");
}

}  // namespace

Test(stream_contract, a_disconnect_of_the_caller_cancels_generation) {
  Deployment deployment;
  MakeReady(deployment);
  NonReadingCaller caller(
      deployment.entry_port(),
      R"({"model":"chat","messages":["x"],"max_tokens":100000,"stream":true})");
  int polls = 0;
  while (EngineCounter(deployment, "generated_tokens") == 0) {
    cr_assert(++polls < kMaximumPolls);
    usleep(kPollIntervalMicroseconds);
  }
  caller.Disconnect();
  polls = 0;
  while (EngineCounter(deployment, "running") > 0) {
    cr_assert(++polls < kMaximumPolls);
    usleep(kPollIntervalMicroseconds);
  }
  cr_assert(EngineCounter(deployment, "generated_tokens") < 100000);
}

Test(stream_contract, a_caller_that_does_not_read_pauses_generation) {
  Deployment deployment;
  ChildProcess fast_engine("stand_ins/stand_in_engine", {"--token-us", "1"});
  StoreBundleWithoutDeadline(deployment);
  deployment.AddEndpoint("engine-1", fast_engine.port(), "chat");
  const NonReadingCaller caller(
      deployment.entry_port(),
      R"({"model":"chat","messages":["x"],"max_tokens":9000000,"stream":true})");
  const auto generated = [&fast_engine] {
    const std::string stats =
        Call(fast_engine.port(), "GET", "/stand-in/stats");
    const std::string name = "\"generated_tokens\":";
    const size_t at = stats.find(name);
    return std::strtoull(stats.c_str() + at + name.size(), nullptr, 10);
  };
  uint64_t last = 0;
  int unchanged = 0;
  for (int polls = 0; unchanged < 10; ++polls) {
    cr_assert(polls < kMaximumPolls, "the engine still generates: %lu", last);
    usleep(kPollIntervalMicroseconds);
    const uint64_t now = generated();
    unchanged = now == last && now > 0 ? unchanged + 1 : 0;
    last = now;
  }
  cr_assert(last < 9000000);
  const std::string stats = Call(fast_engine.port(), "GET", "/stand-in/stats");
  cr_assert(stats.find("\"running\":1") != std::string::npos);
}

Test(vm_list_contract, an_unchanged_list_is_sent_once) {
  Deployment deployment;
  MakeReady(deployment);
  const auto lists_sent = [&deployment] {
    return Call(deployment.platform().port(), "GET", "/stand-in/vms");
  };
  const auto request_status = [&deployment] {
    Call(deployment.entry_port(), "GET", "/v1/status");
    usleep(kPollIntervalMicroseconds);
  };
  std::string before = lists_sent();
  for (int i = 0; i < 20; ++i) {
    request_status();
  }
  cr_assert(lists_sent().substr(lists_sent().find('{')) ==
            before.substr(before.find('{')));
  deployment.AddEndpoint("engine-2", deployment.engine().port(), "chat");
}

Test(stream_contract, a_truncated_idempotent_response_is_retried) {
  Deployment deployment;
  MakeReady(deployment);
  Call(deployment.service().port(), "POST", "/stand-in/drop-answers?count=1");
  const std::string answer = Call(deployment.entry_port(), "GET",
                                  "/v1/services/loans/items/7?shelf=2", kKey);
  cr_assert(StatusOf(answer) == 200, "%s", answer.c_str());
  const std::string stats =
      Call(deployment.service().port(), "GET", "/stand-in/stats");
  cr_assert(stats.find("\"reads\":2") != std::string::npos, "%s",
            stats.c_str());
}
