// Two of eight workers crash: one in the middle of a stream's event, the other
// when it has begun to answer the resumed request. Answers have neither a
// length nor chunks. The caller gets a complete stream without its last events.
#include "common/harness.hpp"

using namespace review;

namespace {

constexpr int kWorkers = 8;
constexpr int kEvents = 20;
constexpr int kCallers = 4;
constexpr int kGapMs = 30;

std::string Config() {
  return json::serialize(json::object{
      {"version", 7},
      {"routes", json::array{json::object{{"name", "r-r26tta8"},
                                          {"host", "ficu95.example"},
                                          {"path-prefix", "/lohu930/"},
                                          {"kind", "streaming"},
                                          {"timeout-ms", 15000},
                                          {"target-latency-ms", 1500},
                                          {"gap-target-ms", 400},
                                          {"priority", 2},
                                          {"service", "huvo11a"},
                                          {"max-attempts", 2},
                                          {"public", true},
                                          {"sticky", true},
                                          {"resumable", true}}}},
      {"services",
       json::array{json::object{
           {"name", "huvo11a"},
           {"health-path", "/health"},
           {"max-connections", 360},
           {"engine", json::object{{"slots", 64}, {"kv-capacity", 360125}}}}}},
      {"limits", json::object{{"max-header-bytes", 16384},
                              {"max-body-bytes", 4194304},
                              {"header-timeout-ms", 3000},
                              {"idle-timeout-ms", 15000}}},
      {"tenants", json::array{}}});
}

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: piece " +
         std::to_string(number) + " of " + std::to_string(kEvents) + "\n\n";
}

}  // namespace

int main() {
  const std::string ip = RandomIp();
  Store store(ip);
  Cloud cloud(ip);
  std::mutex mutex;
  // Set when the disruption begins; then the worker that first reaches event 6
  // crashes, and after it the one that gets the resumed request.
  std::atomic<bool> is_due{false};
  std::string broken_request;
  int crashes = 0;
  std::vector<std::unique_ptr<Server>> workers(kWorkers);
  for (int w = 0; w < kWorkers; ++w) {
    const std::string name = "i-7f3a91c" + std::to_string(w);
    workers[w] = std::make_unique<Server>(
        ip, [&, w, name](const Message& request, Connection& connection) {
          const std::string id = request.Header("X-Pistachiowalk-Attempt-Id");
          if (request.Header("X-Pistachiowalk-Expect-Instance") != name) {
            connection.Send(MakeResponse(421, {}, ""));
            return false;
          }
          const int last = std::atoi(request.Header("Last-Event-Id").c_str());
          Note(name + " runs " + id + " after event " + std::to_string(last));
          const auto crash = [&](const std::string& when) {
            ++crashes;
            Note(name + " crashes " + when + " of " + id);
            workers[w]->Crash(connection);
            return false;
          };
          SleepMs(50);
          connection.Send(
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
              "Connection: close\r\nX-Pistachiowalk-Attempt-Id: " +
              id + "\r\nX-Pistachiowalk-Server-Seal: 3e1b." + name +
              "\r\n\r\n");
          SleepMs(kGapMs);
          {
            const std::lock_guard<std::mutex> lock(mutex);
            if (crashes == 1 && id == broken_request) {
              return crash("before its first event");
            }
          }
          for (int e = last + 1; e <= kEvents; ++e) {
            const std::string event = Event(e);
            {
              const std::lock_guard<std::mutex> lock(mutex);
              if (is_due && crashes == 0 && e == 6) {
                connection.Send(event.substr(0, event.size() / 2));
                SleepMs(5);
                broken_request = id;
                return crash("in the middle of event 6");
              }
            }
            // The other streams of a worker that has crashed are reset.
            if (workers[w]->is_down() || !connection.Send(event)) {
              return false;
            }
            SleepMs(kGapMs);
          }
          return false;
        });
    store.Put("servers/" + name,
              WorkerEntry("huvo11a", workers[w]->address(), "ready", 64));
  }
  store.Put("op/config", Config());
  Gateway gateway({.name = "front-1",
                   .ip = RandomIp(),
                   .store = store.address(),
                   .cloud = cloud.address()},
                  Folder());
  gateway.Start();
  if (!gateway.WaitReady()) {
    Finish(kCouldNotRun);
  }

  std::atomic<int> whole{0};
  std::atomic<int> visibly_broken{0};
  std::atomic<int> short_but_complete{0};
  const auto end = Clock::now() + milliseconds(8000);
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int count = 0; Clock::now() < end; ++count) {
        const auto connection = Connection::Open(gateway.front());
        if (!connection) {
          return;
        }
        const std::string id = NewId();
        char session[64];
        std::snprintf(session, sizeof(session), "%08x:410,%08x:250",
                      0x91bd3f0 + i, 0xe4402b0 + 16 * i + count);
        connection->Send(
            MakeRequest("POST", "/lohu930/2f", id, "", 15000,
                        {{"X-Pistachiowalk-Model", "m"},
                         {"X-Pistachiowalk-Token-Count", "1460,80"},
                         {"X-Pistachiowalk-Prompt-Prefix",
                          "5c1e07a2:800," + std::string(session)}},
                        "{}"));
        const Message answer = ReadMessage(*connection, true, 15000);
        std::string expected;
        for (int e = 1; e <= kEvents; ++e) {
          expected += Event(e);
        }
        const std::string result = !answer.is_complete      ? "not complete"
                                   : answer.status() != 200 ? "failed"
                                   : answer.body == expected
                                       ? "whole"
                                       : "COMPLETE WITHOUT ALL EVENTS";
        if (result == "whole") {
          ++whole;
        } else if (answer.is_complete && answer.status() == 200) {
          ++short_but_complete;
        } else {
          ++visibly_broken;
        }
        const size_t last = answer.body.rfind("id: ");
        Note("caller " + std::to_string(i) + ": " + id + " status " +
             std::to_string(answer.status()) + ", last event " +
             (last == std::string::npos
                  ? "none"
                  : answer.body.substr(
                        last + 4, answer.body.find('\n', last) - last - 4)) +
             ", " + result);
      }
    });
  }
  SleepMs(2000);
  is_due = HasTrouble();
  for (std::thread& caller : callers) {
    caller.join();
  }
  Note("whole " + std::to_string(whole) + ", visibly broken " +
       std::to_string(visibly_broken) + ", complete without all events " +
       std::to_string(short_but_complete));
  if (whole == 0 || (HasTrouble() && crashes != 2)) {
    Finish(kCouldNotRun);
  }
  Finish(short_but_complete > 0 ? kBroken : kHeld);
}
