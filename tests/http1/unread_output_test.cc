#include "http1/unread_output.h"

#include <algorithm>
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

constexpr size_t kMebibyte = 1024 * 1024;
const std::string kRequest = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";

std::string Requests(size_t count) {
  std::string requests;
  for (size_t i = 0; i < count; ++i) {
    requests += kRequest;
  }
  return requests;
}

// A service and clients that read only when they are told to.
struct Readers {
  struct Client {
    TcpConnectionPtr connection;
    size_t received_bytes = 0;
    bool has_ended = false;
  };

  Readers(uint16_t port,
          ServerConnection::RequestHandler handler,
          ServerLimits limits = {})
      : address{.ip = "127.0.0.1", .port = port} {
    service = boost::leaf::try_handle_all(
        [&] {
          return HttpService::Create(loop, clock, address, limits,
                                     std::move(handler));
        },
        [] { return std::unique_ptr<HttpService>(); });
    service->SetCloseHandler(
        [this](const ConnectionClose& close) { closes.push_back(close); });
  }
  ~Readers() {
    for (const auto& client : clients) {
      client->connection->Close();
    }
  }

  Client& Send(const std::string& bytes) {
    clients.push_back(std::make_unique<Client>());
    Client* client = clients.back().get();
    client->connection = TcpConnection::Connect(loop, address);
    client->connection->SetHandlers(TcpConnection::Handlers{
        .connected = nullptr,
        .received =
            [client] {
              client->received_bytes += client->connection->input().size();
              client->connection->input().clear();
            },
        .ended = [client](ConnectionEnd) { client->has_ended = true; }});
    client->connection->SetReading(false);
    client->connection->Send(bytes);
    return *client;
  }

  bool RunUntil(const std::function<bool()>& is_over) {
    const TimerId limit = loop.Schedule(seconds(10), [this] { loop.Stop(); });
    bool was_over = false;
    std::function<void()> check = [&] {
      most_output_bytes = std::max(most_output_bytes, service->output_bytes());
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

  void RunFor(Duration time) {
    const TimePoint end = clock.Now() + time;
    RunUntil([&] { return clock.Now() >= end; });
  }

  EventLoop loop;
  const SystemClock clock;
  SocketAddress address;
  std::vector<ConnectionClose> closes;
  std::unique_ptr<HttpService> service;
  std::vector<std::unique_ptr<Client>> clients;
  size_t most_output_bytes = 0;
};

}  // namespace

Test(unread_output, those_stalled_longest_give_way_and_then_the_largest) {
  const std::vector<UnreadOutput> outputs = {
      {.held_bytes = 100, .stalled = milliseconds(200)},
      {.held_bytes = 10, .stalled = seconds(3)},
      {.held_bytes = 40, .stalled = milliseconds(200)},
      {.held_bytes = 20, .stalled = seconds(2)}};
  cr_assert(ChooseConnectionsToGiveWay(outputs, 0).empty());
  cr_assert(ChooseConnectionsToGiveWay(outputs, 10) == std::vector<size_t>{1});
  cr_assert((ChooseConnectionsToGiveWay(outputs, 31) ==
             std::vector<size_t>{1, 3, 0}));
  cr_assert(ChooseConnectionsToGiveWay(outputs, 1000).size() == outputs.size());
}

Test(unread_output, a_client_that_reads_little_is_not_steady) {
  constexpr uint64_t kLittle = 2 * 1024;
  const TimePoint start{};
  OutputProgress progress = BeginOutputProgress(0, start);
  progress = NoteArrived(progress, kLittle, start + seconds(1));
  cr_assert(progress.steady_at == start);
  cr_assert(progress.progress_at == start + seconds(1));
  progress = NoteArrived(progress, kLittle + 1, start + seconds(2));
  cr_assert(progress.progress_at == start + seconds(1));
  progress = NoteArrived(progress, 10 * kLittle, start + seconds(3));
  cr_assert(progress.steady_at == start + seconds(3));
}

Test(unread_output, responses_to_requests_sent_ahead_pile_up) {
  constexpr size_t kBodyBytes = 16 * 1024;
  constexpr size_t kRequests = 2000;
  size_t handled = 0;
  Readers readers(18481, [&](const ServerExchangePtr& exchange) {
    ++handled;
    exchange->Respond(200, {}, std::string(kBodyBytes, 'x'));
  });
  Readers::Client& client = readers.Send(Requests(kRequests));
  readers.RunFor(seconds(1));
  cr_expect(readers.most_output_bytes <= 8 * kBodyBytes, "%zu bytes",
            readers.most_output_bytes);
  cr_expect(handled < kRequests, "all were handled");
  client.connection->SetReading(true);
  cr_assert(readers.RunUntil([&] {
    return handled == kRequests &&
           client.received_bytes >= kRequests * kBodyBytes;
  }));
}

Test(unread_output, more_is_read_with_each_response) {
  constexpr size_t kRequests = 20000;
  std::vector<ServerExchangePtr> open;
  Readers readers(18482, [&](const ServerExchangePtr& exchange) {
    open.push_back(exchange);
  });
  const auto budget = std::make_shared<BodyBudget>();
  readers.service->SetBudget(budget);
  Readers::Client& client = readers.Send(Requests(kRequests));
  client.connection->SetReading(true);
  size_t most = 0;
  size_t responses = 0;
  cr_assert(readers.RunUntil([&] {
    most = std::max(most, budget->reserved_bytes());
    if (!open.empty()) {
      ++responses;
      const ServerExchangePtr exchange = open.back();
      open.clear();
      exchange->Respond(200, {}, "");
    }
    return responses >= 200;
  }));
  cr_expect(most <= 128 * 1024, "%zu bytes", most);
}

Test(unread_output, a_hoarder_of_responses_gives_way_to_a_slow_reader) {
  constexpr size_t kBodyBytes = 10 * kMebibyte;
  constexpr size_t kHoarders = 4;
  Readers readers(18483, [&](const ServerExchangePtr& exchange) {
    exchange->Respond(200, {}, std::string(kBodyBytes, 'x'));
  });
  readers.service->SetMaximumOutput(2 * kBodyBytes);
  for (size_t i = 0; i < kHoarders; ++i) {
    readers.Send(kRequest);
    readers.RunFor(milliseconds(300));
  }
  readers.RunFor(milliseconds(600));
  Readers::Client& reader = readers.Send(kRequest);
  cr_assert(readers.RunUntil([&] {
    reader.connection->SetReading(!reader.connection->is_reading());
    return reader.received_bytes >= kBodyBytes;
  }));
  cr_expect(!reader.has_ended);
  cr_expect(readers.service->counts().unread_outputs > 0);
  cr_expect(readers.service->output_bytes() <= 2 * kBodyBytes);
  cr_assert(!readers.closes.empty());
  cr_expect(readers.closes.front().cause == CloseCause::kUnread);
}

Test(unread_output, a_stream_that_nobody_reads_stays_open) {
  ServerExchangePtr open;
  bool is_disconnected = false;
  Readers readers(
      18484,
      [&](const ServerExchangePtr& exchange) {
        open = exchange;
        exchange->SetDisconnectHandler([&] { is_disconnected = true; });
        exchange->Begin(200, "OK", {});
        exchange->SendChunk(std::string(10 * kMebibyte, 'x'));
      },
      ServerLimits{.output_timeout = milliseconds(600)});
  readers.Send(kRequest);
  cr_assert(readers.RunUntil([&] { return is_disconnected; }));
  cr_assert(!open->is_open());
  cr_assert(readers.RunUntil([&] { return readers.closes.size() == 1; }));
  cr_expect(readers.closes.front().cause == CloseCause::kUnread);
  cr_expect(readers.closes.front().IsNotable());
  cr_expect_eq(readers.service->counts().late_readers, 1);
  cr_expect_eq(readers.service->output_bytes(), 0);
}

Test(unread_output, a_client_that_leaves_unread_responses_is_kept) {
  constexpr size_t kRequests = 20000;
  Readers readers(18485, [&](const ServerExchangePtr& exchange) {
    exchange->Respond(200, {}, std::string(1024, 'x'));
  });
  Readers::Client& client = readers.Send(Requests(kRequests));
  readers.RunFor(milliseconds(500));
  client.connection->Close();
  cr_assert(readers.RunUntil([&] { return readers.closes.size() == 1; }));
  cr_expect_eq(readers.service->output_bytes(), 0);
}

Test(unread_output, clients_that_read_nothing_take_all_descriptors) {
  constexpr size_t kClients = 4;
  constexpr size_t kBodyBytes = 16 * 1024;
  Readers readers(18486, [&](const ServerExchangePtr& exchange) {
    exchange->Respond(200, {}, std::string(kBodyBytes, 'x'));
  });
  readers.service->SetMaximumConnections(kClients);
  for (size_t i = 0; i < kClients; ++i) {
    readers.Send(Requests(4000));
  }
  readers.RunFor(milliseconds(1800));
  Readers::Client& caller = readers.Send(kRequest);
  caller.connection->SetReading(true);
  cr_assert(
      readers.RunUntil([&] { return caller.received_bytes > kBodyBytes; }));
  cr_expect_eq(readers.service->counts().connections, 1);
}
