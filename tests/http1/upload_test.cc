#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/system_clock.h"
#include "http1/http_service.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kBodyBytes = 400 * 1024;

// A service with room for two bodies and for one with the reserve, and its
// callers.
struct Uploads {
  explicit Uploads(uint16_t port, ServerLimits limits = {})
      : address{.ip = "127.0.0.1", .port = port} {
    budget->SetParts(
        {.maximum_bytes = 1500 * 1024, .reserve_bytes = 600 * 1024},
        {.maximum_bytes = 400 * 1024, .reserve_bytes = 100 * 1024});
    service = boost::leaf::try_handle_all(
        [&] {
          return HttpService::Create(loop, clock, address, limits,
                                     [](const ServerExchangePtr& exchange) {
                                       exchange->Respond(200, {}, "");
                                     });
        },
        [] { return std::unique_ptr<HttpService>(); });
    service->SetBudget(budget);
  }
  ~Uploads() {
    for (const auto& caller : callers) {
      caller->connection->Close();
    }
  }

  struct Caller {
    TcpConnectionPtr connection;
    std::string received;
  };

  // Sends a head and `bytes` of a body of `announced`.
  Caller& Send(size_t announced, size_t bytes) {
    callers.push_back(std::make_unique<Caller>());
    Caller* caller = callers.back().get();
    caller->connection = TcpConnection::Connect(loop, address);
    caller->connection->SetHandlers(TcpConnection::Handlers{
        .connected = nullptr,
        .received =
            [caller] { caller->received += caller->connection->input(); },
        .ended = nullptr});
    caller->connection->Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                             std::to_string(announced) + "\r\n\r\n" +
                             std::string(bytes, 'x'));
    return *caller;
  }

  bool RunUntil(const std::function<bool()>& is_over) {
    const TimerId limit = loop.Schedule(seconds(10), [this] { loop.Stop(); });
    bool was_over = false;
    std::function<void()> check = [&] {
      was_over = is_over();
      if (was_over) {
        loop.Stop();
      } else {
        loop.Schedule(milliseconds(1), check);
      }
    };
    check();
    loop.Run();
    loop.Cancel(limit);
    return was_over;
  }

  EventLoop loop;
  const SystemClock clock;
  SocketAddress address;
  std::shared_ptr<BodyBudget> budget = std::make_shared<BodyBudget>();
  std::unique_ptr<HttpService> service;
  std::vector<std::unique_ptr<Caller>> callers;
};

}  // namespace

Test(upload, bodies_that_fill_the_memory_together_are_all_received) {
  Uploads uploads(18461);
  for (int i = 0; i < 12; ++i) {
    uploads.Send(kBodyBytes, kBodyBytes);
  }
  cr_assert(uploads.RunUntil([&] {
    return std::all_of(uploads.callers.begin(), uploads.callers.end(),
                       [](const auto& caller) {
                         return caller->received.starts_with("HTTP/1.1 200 ");
                       });
  }));
  cr_assert(uploads.service->counts() == HttpServiceCounts{});
}

Test(upload, bodies_that_stopped_short_give_way_to_one_that_arrives) {
  Uploads uploads(18462);
  for (int i = 0; i < 6; ++i) {
    uploads.Send(kBodyBytes, kBodyBytes - 1);
  }
  cr_assert(uploads.RunUntil([&] { return uploads.budget->waiters() > 0; }));
  Uploads::Caller& caller = uploads.Send(kBodyBytes, kBodyBytes);
  cr_assert(uploads.RunUntil(
      [&] { return caller.received.starts_with("HTTP/1.1 200 "); }));
  cr_assert(uploads.RunUntil(
      [&] { return uploads.service->counts().stalled_bodies > 0; }));
}

Test(upload, a_body_whose_end_does_not_come_is_refused) {
  Uploads uploads(18463, ServerLimits{.body_timeout = milliseconds(600)});
  const Uploads::Caller& caller = uploads.Send(kBodyBytes, 10);
  cr_assert(uploads.RunUntil([&] { return !caller.received.empty(); }));
  cr_assert(caller.received.starts_with("HTTP/1.1 408 "));
  cr_assert(uploads.budget->reserved_bytes() == 0);
}

Test(upload, nothing_is_held_after_a_refusal_and_nothing_taken_for_a_request) {
  Uploads uploads(18464, ServerLimits{.parse = {.body_bytes = 1000}});
  const Uploads::Caller& caller = uploads.Send(kBodyBytes, kBodyBytes);
  caller.connection->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(uploads.RunUntil([&] { return !caller.received.empty(); }));
  cr_assert(uploads.budget->reserved_bytes() == 0);
  cr_assert(uploads.RunUntil([&] { return !caller.connection->is_open(); }));
  cr_assert(caller.received.starts_with("HTTP/1.1 413 "));
  cr_assert(caller.received.find("HTTP/1.1", 1) == std::string::npos);
}

Test(upload, an_idle_connection_gives_way_to_a_new_one) {
  Uploads uploads(18465);
  uploads.service->SetMaximumConnections(2);
  Uploads::Caller& busy = uploads.Send(10, 1);
  Uploads::Caller& idle = uploads.Send(0, 0);
  cr_assert(uploads.RunUntil([&] { return !idle.received.empty(); }));
  uploads.loop.Schedule(milliseconds(1100), [&] { uploads.loop.Stop(); });
  uploads.loop.Run();
  const Uploads::Caller& late = uploads.Send(0, 0);
  cr_assert(uploads.RunUntil([&] { return !late.received.empty(); }));
  cr_assert(!idle.connection->is_open());
  cr_assert(busy.connection->is_open());
}
